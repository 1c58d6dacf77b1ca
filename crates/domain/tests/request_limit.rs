//! Tests of the division of workers' limits among daemons.

use jasminetack_domain::locality;
use jasminetack_domain::name;
use jasminetack_domain::request_limit;
use jasminetack_domain::upstream;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const STEP_MS: u64 = 20;
const START_MS: u64 = 50_000;
const WINDOW_MS: u64 = 4_000;
/// Share of a limit that daemons with enough requests must use.
const MIN_USE: f64 = 0.85;

fn worker(started_unix_ms: u64) -> upstream::Upstream {
    upstream::Upstream {
        name: name::WorkerName::from("i-1"),
        service: name::ServiceName::from("llm"),
        address: ([127, 0, 0, 1], 80).into(),
        locality: locality::Locality::new(
            name::RegionName::from("r"),
            name::FailureDomainName::from("d"),
        ),
        slots: 6,
        is_draining: false,
        started_unix_ms,
        base_models: Vec::new(),
        adapters: Vec::new(),
    }
}

/// One daemon that has requests for the worker all the time.
struct Daemon {
    host: name::HostName,
    limits: request_limit::RequestLimits,
    is_up: bool,
}

impl Daemon {
    fn new(index: usize, clock_error_ms: i64) -> Self {
        let mut limits = request_limit::RequestLimits::default();
        limits.set_store_clock(1_000_000 + clock_error_ms);
        Self { host: name::HostName::from(format!("edge-{index}")), limits, is_up: true }
    }

    fn know(&mut self, hosts: &[name::HostName], now_ms: u64) {
        let others = hosts.iter().filter(|host| **host != self.host);
        let schedule = request_limit::PermitSchedule::new(&self.host, others);
        self.limits.set_schedule(schedule, now_ms);
    }

    fn observe(&mut self, limit_per_s: Option<f64>, sent_ms: u64, now_ms: u64) {
        let upstream = worker(1);
        let observation = request_limit::Observation {
            worker: &upstream.name,
            started_unix_ms: 1,
            limit_per_s,
            sent_ms,
        };
        self.limits.observe(&observation, now_ms);
    }

    /// Sends a request if a permit is due; returns whether it did.
    fn try_send(&mut self, now_ms: u64) -> bool {
        self.limits.wait_ms(&worker(1), now_ms) == Some(0)
            && self.limits.take(&worker(1).name, now_ms).is_some()
    }
}

fn max_in_window(times: &[u64]) -> usize {
    let counts = times
        .iter()
        .map(|first| times.iter().filter(|at| **at >= *first && **at < first + WINDOW_MS).count());
    counts.max().unwrap_or(0)
}

fn allowed(limit_per_s: f64) -> usize {
    (limit_per_s * 1.5 * 4.0 + 5.0).floor() as usize
}

#[test]
fn small_limits_before_many_daemons_are_neither_overrun_nor_starved() {
    for (daemons, limit_per_s) in
        [(1, 1.1), (9, 1.1), (9, 4.8), (9, 40.0), (69, 0.7), (195, 1.1), (400, 1.1), (400, 55.0)]
    {
        let mut random = Pcg64Mcg::seed_from_u64(daemons as u64);
        let mut fleet: Vec<_> =
            (0..daemons).map(|index| Daemon::new(index, random.random_range(-100..100))).collect();
        let hosts: Vec<_> = fleet.iter().map(|daemon| daemon.host.clone()).collect();
        for daemon in &mut fleet {
            daemon.know(&hosts, START_MS);
            daemon.observe(Some(limit_per_s), START_MS, START_MS);
        }
        let mut times = Vec::new();
        let end_ms = START_MS + 60_000;
        for now_ms in (START_MS..end_ms).step_by(STEP_MS as usize) {
            for daemon in &mut fleet {
                while daemon.try_send(now_ms) {
                    times.push(now_ms);
                }
            }
        }
        let busiest = max_in_window(&times);
        assert!(busiest <= allowed(limit_per_s), "{daemons} {limit_per_s}: {busiest}");
        let mean_per_s = times.len() as f64 / 60.0;
        let is_used = (MIN_USE * limit_per_s..=limit_per_s * 1.1).contains(&mean_per_s);
        assert!(is_used, "{daemons} {limit_per_s}: {mean_per_s}");
    }
}

#[test]
fn a_limit_holds_while_daemons_start_end_and_are_cut_off() {
    for seed in 0..20 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let count = [3, 9, 60][seed as usize % 3];
        let limit_per_s = [1.1, 4.8, 30.0][random.random_range(0..3)];
        let mut fleet: Vec<_> = (0..count).map(|index| Daemon::new(index, 0)).collect();
        let hosts: Vec<_> = fleet.iter().map(|daemon| daemon.host.clone()).collect();
        // Hosts as the store lists them, which changes later than the daemons themselves.
        let mut listed = hosts;
        for daemon in &mut fleet {
            daemon.know(&listed, START_MS);
            daemon.observe(Some(limit_per_s), START_MS, START_MS);
        }
        let mut times = Vec::new();
        let mut cut_off = None;
        for now_ms in (START_MS..START_MS + 60_000).step_by(STEP_MS as usize) {
            if now_ms % 1_000 == 0 {
                // The list follows the daemons that run and have been up for a while.
                let up = fleet.iter().filter(|daemon| daemon.is_up);
                listed = up.map(|daemon| daemon.host.clone()).collect();
                let known = fleet[0].limits.records(now_ms).map(|(_, record)| *record).next();
                for (index, daemon) in fleet.iter_mut().enumerate() {
                    // A daemon that is cut off neither reads the list nor gets messages.
                    if cut_off == Some(index) || random.random_bool(0.3) {
                        continue;
                    }
                    daemon.know(&listed, now_ms);
                    if let Some(record) = known {
                        daemon.limits.merge(&worker(1).name, &record, now_ms);
                    }
                }
                let index = random.random_range(1..count);
                match random.random_range(0..4) {
                    0 => fleet[index].is_up = false,
                    1 if !fleet[index].is_up => {
                        fleet[index] = Daemon::new(index, 0);
                        fleet[index].know(&listed, now_ms);
                        if let Some(record) = known {
                            fleet[index].limits.merge(&worker(1).name, &record, now_ms);
                        }
                    }
                    2 => cut_off = Some(index),
                    _ => cut_off = None,
                }
            }
            for daemon in fleet.iter_mut().filter(|daemon| daemon.is_up) {
                while daemon.try_send(now_ms) {
                    times.push(now_ms);
                }
            }
        }
        let busiest = max_in_window(&times);
        assert!(busiest <= allowed(limit_per_s), "seed {seed}, {count} {limit_per_s}: {busiest}");
    }
}

#[test]
fn a_daemon_that_does_not_know_the_others_sends_nothing_to_a_worker_with_a_limit() {
    let mut daemon = Daemon::new(0, 0);
    daemon.observe(Some(100.0), START_MS, START_MS);
    assert!(daemon.limits.is_limited(&worker(1)));
    assert_eq!(daemon.limits.wait_ms(&worker(1), START_MS + 60_000), None);
    daemon.know(&[], START_MS + 60_000);
    assert!(daemon.limits.wait_ms(&worker(1), START_MS + 60_000).is_some());
}

#[test]
fn a_limit_ends_with_the_answer_to_a_later_request_without_one() {
    let mut daemon = Daemon::new(0, 0);
    daemon.know(&[], START_MS);
    daemon.observe(Some(2.0), START_MS - 20, START_MS);
    // The request was sent before the worker was known to have a limit.
    daemon.observe(None, START_MS - 10, START_MS + 50);
    assert!(daemon.limits.is_limited(&worker(1)));
    daemon.observe(None, START_MS + 60, START_MS + 80);
    assert!(!daemon.limits.is_limited(&worker(1)));
    assert_eq!(daemon.limits.wait_ms(&worker(1), START_MS + 80), Some(0));
}

#[test]
fn an_old_message_neither_brings_a_limit_back_nor_lifts_a_newer_one() {
    let (mut first, mut second) = (Daemon::new(0, 0), Daemon::new(1, 0));
    first.observe(Some(2.0), START_MS, START_MS);
    let (_, old) = first.limits.records(START_MS).next().expect("a record");
    let old = *old;
    second.limits.merge(&worker(1).name, &old, START_MS);
    second.observe(None, START_MS + 10, START_MS + 30);
    assert!(!second.limits.is_limited(&worker(1)));
    second.limits.merge(&worker(1).name, &old, START_MS + 5_000);
    assert!(!second.limits.is_limited(&worker(1)));
    let lifted = *second.limits.records(START_MS + 5_000).next().expect("a record").1;
    first.observe(Some(3.0), START_MS + 6_000, START_MS + 6_000);
    first.limits.merge(&worker(1).name, &lifted, START_MS + 7_000);
    assert_eq!(first.limits.limit_per_s(&worker(1)), Some(3.0));
}

#[test]
fn a_restarted_worker_has_no_limit_until_it_states_one() {
    let mut daemon = Daemon::new(0, 0);
    daemon.observe(Some(2.0), START_MS, START_MS);
    assert!(daemon.limits.is_limited(&worker(1)));
    assert!(!daemon.limits.is_limited(&worker(2)));
}

#[test]
fn a_worker_that_accepts_nothing_is_asked_again_now_and_then() {
    let mut daemon = Daemon::new(0, 0);
    daemon.know(&[], START_MS);
    daemon.observe(Some(0.0), START_MS, START_MS);
    let steps = (START_MS..START_MS + 60_000).step_by(STEP_MS as usize);
    let times: Vec<_> = steps.filter(|now_ms| daemon.try_send(*now_ms)).collect();
    assert!((10..=20).contains(&times.len()), "{times:?}");
    assert!(max_in_window(&times) <= 2);
}

proptest! {
    #[test]
    fn an_unused_permit_is_taken_again_and_an_expired_one_is_not(
        limit_per_s in 0.5..50.0,
        delay_ms in 0..4_000_u64,
    ) {
        let mut daemon = Daemon::new(0, 0);
        daemon.know(&[], START_MS);
        daemon.observe(Some(limit_per_s), START_MS, START_MS);
        let name = worker(1).name;
        let first = daemon.limits.take(&name, START_MS).expect("a permit within 2 s");
        daemon.limits.put_back(&name, first);
        let now_ms = START_MS + delay_ms;
        let is_usable = daemon.limits.permit_wait_ms(first, now_ms).is_some();
        let second = daemon.limits.take(&name, now_ms);
        prop_assert_eq!(second == Some(first), is_usable);
    }

    #[test]
    fn another_daemon_takes_permits_only_for_itself(hosts in 2..40_usize, limit_per_s in 0.5..20.0) {
        let host = |index: usize| name::HostName::from(format!("edge-{index}"));
        let all: Vec<_> = (0..hosts).map(host).collect();
        let starts = |index: usize, known: &[name::HostName]| {
            let mut daemon = Daemon::new(index, 0);
            daemon.know(known, START_MS);
            daemon.observe(Some(limit_per_s), START_MS, START_MS);
            let steps = (START_MS..START_MS + 20_000).step_by(STEP_MS as usize);
            let permits = steps.filter_map(|now_ms| daemon.limits.take(&worker(1).name, now_ms));
            permits.map(|permit| permit.start_store_ms).collect::<Vec<_>>()
        };
        // What the last daemon takes when it starts is all that the first one loses.
        let before = starts(0, &all[..hosts - 1]);
        let after = starts(0, &all);
        let taken = starts(hosts - 1, &all);
        for start in &before {
            prop_assert!(after.contains(start) != taken.contains(start));
        }
        prop_assert!(after.iter().all(|start| before.contains(start)));
    }
}
