//! Tests of the quotas of teams over a fleet of daemons.

mod fleet;
mod rules;

use fleet::{CALM, Fleet, Links, STEP_MS};
use proptest::prelude::*;
use rand::RngExt;

const DAEMONS: usize = 70;
const SMALL_RATE: f64 = 29_000.0;
const LARGE_RATE: f64 = 385_492.0;
/// Least part of its rate that a team with enough demand must get on a calm fleet.
const MIN_USE: f64 = 0.9;
const ROUGH: Links = Links { loss: 0.1, duplication: 0.1, late: (0.1, 3_000) };

/// Runs a fleet with random requests: `demand` as a multiple of the rate of each team.
fn run(fleet: &mut Fleet, rates: &[f64], demand: f64, callers: &[usize], duration_ms: u64) {
    let end_ms = fleet.now_ms + duration_ms;
    let mut debts = vec![0.0; rates.len()];
    while fleet.now_ms < end_ms {
        fleet.step();
        for (team, rate) in rates.iter().enumerate() {
            debts[team] += rate * demand * STEP_MS as f64 / 1_000.0;
            while debts[team] > 0.0 {
                let cost = if fleet.rng.random_bool(0.1) {
                    fleet.rng.random_range(4_000..9_300)
                } else {
                    fleet.rng.random_range(200..2_500)
                };
                debts[team] -= cost as f64;
                let caller = callers[fleet.rng.random_range(0..callers.len())];
                fleet.request(caller, team, cost);
            }
        }
    }
}

fn assert_bound(fleet: &Fleet, rates: &[f64], case: &str) {
    for (team, rate) in rates.iter().enumerate() {
        let used = fleet.use_of_bound(team, *rate);
        println!("{case}: rate {rate}: {used:.3} of the bound");
        assert!(used <= 1.0, "{case}: team with rate {rate} used {used:.3} of the bound");
    }
}

#[test]
fn a_team_gets_its_rate_however_its_callers_are_distributed() {
    let all: Vec<_> = (0..DAEMONS).collect();
    let cases: [(&str, &[usize]); 6] = [
        ("one", &[17]),
        ("two", &[3, 40]),
        ("five", &all[50..55]),
        ("twelve", &all[20..32]),
        ("thirty", &all[..30]),
        ("all", &all),
    ];
    for (case, callers) in cases {
        for rate in [SMALL_RATE, 100_000.0, LARGE_RATE] {
            let mut fleet = Fleet::new(DAEMONS, &[rate], 1);
            run(&mut fleet, &[rate], 2.5, callers, 10_000);
            let from_ms = fleet.now_ms;
            run(&mut fleet, &[rate], 2.5, callers, 16_000);
            let used = fleet.admitted_since(0, from_ms) / (rate * 16.0);
            println!("{case} rate {rate}: {used:.3} of the rate");
            assert!(used >= MIN_USE, "{case}, rate {rate}: {used:.3} of the rate");
            assert_bound(&fleet, &[rate], case);
        }
    }
}

#[test]
fn usual_demand_is_not_refused() {
    let rates = [SMALL_RATE, LARGE_RATE];
    let mut fleet = Fleet::new(DAEMONS, &rates, 2);
    let callers: Vec<_> = (10..34).collect();
    // The buckets of new processes are nearly empty.
    run(&mut fleet, &rates, 1.0 / 1.8, &callers, 3_000);
    fleet.refused.fill(0);
    run(&mut fleet, &rates, 1.0 / 1.8, &callers, 30_000);
    for (team, rate) in rates.iter().enumerate() {
        let refused = fleet.refused[team] as f64 / (rate / 1.8 * 30.0);
        println!("rate {rate}: {refused:.4} refused");
        assert!(refused < 0.01, "rate {rate}: {refused:.4} refused");
    }
}

#[test]
fn a_team_that_moves_to_other_daemons_is_served_there_at_once() {
    let rates = [SMALL_RATE];
    let mut fleet = Fleet::new(DAEMONS, &rates, 3);
    run(&mut fleet, &rates, 1.0 / 1.8, &[1, 2, 3, 4], 15_000);
    fleet.refused[0] = 0;
    run(&mut fleet, &rates, 1.0 / 1.8, &[50, 51, 52], 4_000);
    let refused = fleet.refused[0] as f64 / (SMALL_RATE / 1.8 * 4.0);
    println!("{refused:.4} refused after a move");
    assert!(refused < 0.05, "{refused:.4} refused");
}

#[test]
fn a_hot_team_stays_within_the_bound() {
    let rates = [SMALL_RATE, LARGE_RATE];
    let mut fleet = Fleet::new(DAEMONS, &rates, 4);
    let callers: Vec<_> = (0..DAEMONS).collect();
    for _ in 0..2 {
        run(&mut fleet, &rates, 0.2, &callers, 10_000);
        run(&mut fleet, &rates, 4.2, &callers, 7_000);
    }
    assert_bound(&fleet, &rates, "hot");
}

#[test]
fn all_daemons_that_lose_power_serve_at_once_and_stay_within_the_bound() {
    let rates = [SMALL_RATE, LARGE_RATE];
    let mut fleet = Fleet::new(DAEMONS, &rates, 5);
    let callers: Vec<_> = (0..DAEMONS).collect();
    run(&mut fleet, &rates, 0.2, &callers, 10_000);
    run(&mut fleet, &rates, 4.0, &callers, 2_000);
    for index in 0..DAEMONS {
        fleet.kill(index);
    }
    run(&mut fleet, &rates, 0.0, &callers, 300);
    for index in 0..DAEMONS {
        fleet.start(index);
    }
    let from_ms = fleet.now_ms;
    run(&mut fleet, &rates, 1.0, &callers, 2_000);
    for (team, rate) in rates.iter().enumerate() {
        let used = fleet.admitted_since(team, from_ms) / (rate * 2.0);
        println!("after power: rate {rate}: {used:.3}");
        assert!(used > 0.8, "rate {rate}: {used:.3} of the rate after the restart");
    }
    run(&mut fleet, &rates, 4.0, &callers, 6_000);
    assert_bound(&fleet, &rates, "power");
}

#[test]
fn many_killed_daemons_do_not_use_what_they_have_lent() {
    for killed in [10, 35, 60, 69] {
        let rates = [SMALL_RATE, LARGE_RATE];
        let mut fleet = Fleet::new(DAEMONS, &rates, 6);
        let survivor = DAEMONS - 1;
        run(&mut fleet, &rates, 0.05, &[survivor], 10_000);
        run(&mut fleet, &rates, 4.0, &[survivor], 3_000);
        for index in 0..killed {
            fleet.kill(index);
        }
        run(&mut fleet, &rates, 4.0, &[survivor], 200);
        for index in 0..killed {
            fleet.start(index);
        }
        let callers: Vec<_> = (0..DAEMONS).collect();
        run(&mut fleet, &rates, 4.0, &callers, 6_000);
        assert_bound(&fleet, &rates, &format!("{killed} killed"));
    }
}

#[test]
fn daemons_that_freeze_do_not_use_old_loans() {
    let rates = [SMALL_RATE, LARGE_RATE];
    let mut fleet = Fleet::new(DAEMONS, &rates, 7);
    let frozen = [5, 6];
    run(&mut fleet, &rates, 3.0, &frozen, 6_000);
    for index in frozen {
        fleet.freeze(index, 4_000);
    }
    run(&mut fleet, &rates, 3.0, &[30, 31], 4_000);
    run(&mut fleet, &rates, 3.0, &[5, 6, 30, 31], 8_000);
    assert_bound(&fleet, &rates, "frozen");
}

#[test]
fn an_exchange_that_dies_is_replaced() {
    let rates = [SMALL_RATE];
    let mut fleet = Fleet::new(DAEMONS, &rates, 8);
    run(&mut fleet, &rates, 2.0, &[5], 6_000);
    // Whichever daemon is the exchange: all but the one with callers and four more are killed.
    for index in (10..DAEMONS).filter(|index| index % 2 == 0) {
        fleet.kill(index);
    }
    run(&mut fleet, &rates, 2.0, &[5], 14_000);
    let from_ms = fleet.now_ms;
    run(&mut fleet, &rates, 2.0, &[5], 8_000);
    let used = fleet.admitted_since(0, from_ms) / (SMALL_RATE * 8.0);
    assert!(used >= MIN_USE, "{used:.3} of the rate after the daemons were lost");
    assert_bound(&fleet, &rates, "exchange");
}

#[test]
fn a_lower_limit_applies_at_once() {
    let mut fleet = Fleet::new(DAEMONS, &[LARGE_RATE], 9);
    let callers: Vec<_> = (0..DAEMONS).collect();
    run(&mut fleet, &[LARGE_RATE], 0.1, &callers, 6_000);
    fleet.set_rate(0, SMALL_RATE);
    fleet.admitted[0].clear();
    run(&mut fleet, &[SMALL_RATE], 10.0, &callers, 8_000);
    assert_bound(&fleet, &[SMALL_RATE], "lower limit");
}

#[test]
fn the_messages_of_a_fleet_are_few() {
    let rates: Vec<_> = (0..16).map(|index| SMALL_RATE + 10_000.0 * f64::from(index)).collect();
    let mut fleet = Fleet::new(DAEMONS, &rates, 10);
    let callers: Vec<_> = (0..24).collect();
    run(&mut fleet, &rates, 1.0 / 1.8, &callers, 5_000);
    fleet.messages = 0;
    run(&mut fleet, &rates, 1.0 / 1.8, &callers, 10_000);
    let per_daemon = fleet.messages as f64 / 10.0 / DAEMONS as f64;
    println!("{per_daemon:.1} datagrams a second sent by each daemon");
    assert!(per_daemon < 40.0, "{per_daemon:.1} datagrams a second");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, ..ProptestConfig::default() })]

    /// The tokens of any window stay within the rule under loss, duplication, delays, freezes and
    /// kills, whichever daemons the callers use.
    #[test]
    fn the_bound_holds_under_random_schedules(
        seed in any::<u64>(),
        daemons in 2..DAEMONS,
        phases in prop::collection::vec((0.1..5.0f64, 1..24usize, 500..5_000u64), 3..8),
        is_rough in any::<bool>(),
    ) {
        let rates = [SMALL_RATE, LARGE_RATE];
        let mut fleet = Fleet::new(daemons, &rates, seed);
        fleet.links = if is_rough { ROUGH } else { CALM };
        for (demand, callers, duration_ms) in phases {
            let callers: Vec<_> =
                (0..callers).map(|_| fleet.rng.random_range(0..daemons)).collect();
            for index in 0..daemons {
                if fleet.rng.random_bool(0.05) {
                    let duration_ms = fleet.rng.random_range(100..6_000);
                    fleet.freeze(index, duration_ms);
                }
                if fleet.rng.random_bool(0.1) {
                    fleet.kill(index);
                }
            }
            run(&mut fleet, &rates, demand, &callers, 300);
            for index in 0..daemons {
                if !fleet.daemons[index].is_running {
                    fleet.start(index);
                }
            }
            run(&mut fleet, &rates, demand, &callers, duration_ms);
        }
        for (team, rate) in rates.iter().enumerate() {
            let used = fleet.use_of_bound(team, *rate);
            prop_assert!(used <= 1.0, "team with rate {} used {:.3} of the bound", rate, used);
        }
    }
}
