//! Replay of a service with few slots behind many daemons, without a network.

mod asking;
mod simulation;

use simulation::{Event, Outcome, RUN_MS, Replay};

/// Mean times between bursts: 0.4 calls per ms of 45 ms each use half of the slots.
const HALF_LOAD_MS: f64 = 45.0;
const OVERLOAD_MS: f64 = 15.0;
/// Calls of 45 ms that 36 slots can execute in the run.
const CAPACITY: f64 = RUN_MS as f64 * 36.0 / 45.0;

fn share(count: usize, outcome: &Outcome) -> f64 {
    count as f64 / outcome.calls as f64
}

/// Guards against daemons that send to full workers while others have free slots.
#[test]
fn credits_keep_calls_away_from_full_workers_at_half_load() {
    for seed in 1..=3 {
        let before = Replay::new(false, HALF_LOAD_MS, seed).run();
        let after = Replay::new(true, HALF_LOAD_MS, seed).run();
        println!("seed={seed} before={before:?} after={after:?}");
        assert!(share(before.rejected, &before) > 0.05, "the load shows the fault: {before:?}");
        assert!(share(after.rejected, &after) < 0.01, "{after:?}");
        assert!(share(after.refused + after.lost, &after) < 0.01, "{after:?}");
    }
}

/// Guards against a service that is not served while its broker is gone.
#[test]
fn calls_are_served_when_the_broker_is_killed() {
    let mut replay = Replay::new(true, HALF_LOAD_MS, 4);
    let broker = replay.broker_of(0, 0, 0).expect("a broker");
    replay.add(RUN_MS / 2, Event::Kill { broker });
    let outcome = replay.run();
    println!("{outcome:?}");
    assert!(share(outcome.lost, &outcome) < 0.01, "{outcome:?}");
    assert!(share(outcome.rejected, &outcome) < 0.03, "{outcome:?}");
}

/// Guards against calls that are rejected by workers, or that keep each other from being served, when there
/// are half as many again as the slots can execute.
#[test]
fn an_overload_is_refused_by_the_brokers_and_the_slots_stay_in_use() {
    let before = Replay::new(false, OVERLOAD_MS, 5).run();
    let after = Replay::new(true, OVERLOAD_MS, 5).run();
    println!("before={before:?} after={after:?}");
    assert!(share(after.rejected, &after) < 0.01, "{after:?}");
    let served = (after.calls - after.refused - after.lost) as f64;
    assert!(served > 0.85 * CAPACITY, "{served} of {CAPACITY}: {after:?}");
}

/// Guards against brokers that send too many calls beyond the slots in order to learn how many a worker
/// accepts, or that learn nothing and leave capacity unused.
#[test]
fn hardly_one_in_a_hundred_calls_finds_the_limit_of_a_worker_at_overload() {
    for seed in 5..=8 {
        let outcome = Replay::new(true, OVERLOAD_MS, seed).run();
        println!("seed={seed} {outcome:?}");
        assert!(share(outcome.rejected, &outcome) < 0.01, "{outcome:?}");
        let served = (outcome.calls - outcome.refused - outcome.lost) as f64;
        assert!(served > 0.91 * CAPACITY, "{served} of {CAPACITY}: {outcome:?}");
    }
}
