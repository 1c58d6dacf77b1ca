//! Tests of worker choice and of the retry budget.

use jasminetack_domain::dispatch;
use jasminetack_domain::locality;
use jasminetack_domain::name;
use jasminetack_domain::request_limit;
use jasminetack_domain::upstream;
use proptest::prelude::*;

const GENERATION: dispatch::RequestSize =
    dispatch::RequestSize { prompt_tokens: 600, answer_tokens: 70 };

fn worker(name: &str, region: &str) -> upstream::Upstream {
    upstream::Upstream {
        name: name::WorkerName::from(name),
        service: name::ServiceName::from("llm"),
        address: ([127, 0, 0, 1], 80).into(),
        locality: locality::Locality::new(
            name::RegionName::from(region),
            name::FailureDomainName::from("a"),
        ),
        slots: 6,
        is_draining: false,
        started_unix_ms: 1,
        base_models: Vec::new(),
        adapters: Vec::new(),
    }
}

struct Fixture {
    workers: Vec<(upstream::Upstream, dispatch::AdapterState)>,
    chooser: dispatch::Chooser,
    excluded: Vec<name::WorkerName>,
    loading_worker: Option<name::WorkerName>,
    size: dispatch::RequestSize,
    host: name::HostName,
    only_limited: bool,
    memory_capacity_tokens: Option<u32>,
}

impl Fixture {
    fn new(workers: &[(&str, &str, dispatch::AdapterState)]) -> Self {
        let workers = workers.iter().map(|(name, region, state)| (worker(name, region), *state));
        Self {
            workers: workers.collect(),
            chooser: dispatch::Chooser::default(),
            excluded: Vec::new(),
            loading_worker: None,
            size: GENERATION,
            host: name::HostName::from("edge-0"),
            only_limited: false,
            memory_capacity_tokens: None,
        }
    }

    fn choose(&mut self, now_ms: u64) -> Option<String> {
        let adapter = name::AdapterName::from("m/a1");
        let from = locality::Locality::new(
            name::RegionName::from("here"),
            name::FailureDomainName::from("a"),
        );
        let candidates: Vec<_> = self
            .workers
            .iter()
            .map(|(upstream, adapter)| dispatch::Candidate { upstream, adapter: *adapter })
            .collect();
        let choice = dispatch::ChoiceRequest {
            host: &self.host,
            from: &from,
            adapter: Some(&adapter),
            parts: &[],
            size: self.size,
            memory_capacity_tokens: self.memory_capacity_tokens,
            loading_worker: self.loading_worker.as_ref(),
            excluded: &self.excluded,
            permit: None,
            max_permit_wait_ms: 700,
            only_limited: self.only_limited,
        };
        let decision = self.chooser.choose(&choice, &candidates, now_ms)?;
        Some(decision.decision.worker.to_string())
    }
}

const RESIDENT: dispatch::AdapterState = dispatch::AdapterState::Resident;
const ABSENT: dispatch::AdapterState =
    dispatch::AdapterState::Absent { waiting_loads: 0, wait_ms: 0 };

#[test]
fn a_remote_worker_with_the_adapter_beats_a_local_one_without() {
    let mut fixture = Fixture::new(&[("near", "here", ABSENT), ("far", "there", RESIDENT)]);
    assert_eq!(fixture.choose(0).as_deref(), Some("far"));
}

#[test]
fn the_nearer_of_two_equal_workers_is_chosen() {
    let mut fixture = Fixture::new(&[("far", "there", RESIDENT), ("near", "here", RESIDENT)]);
    assert_eq!(fixture.choose(0).as_deref(), Some("near"));
}

#[test]
fn a_request_stays_with_the_worker_that_loads_its_adapter() {
    let mut fixture = Fixture::new(&[("one", "here", ABSENT), ("two", "here", ABSENT)]);
    for loading_worker in ["one", "two"] {
        fixture.loading_worker = Some(name::WorkerName::from(loading_worker));
        assert_eq!(fixture.choose(0).as_deref(), Some(loading_worker));
    }
}

#[test]
fn a_request_stays_with_its_loading_worker_when_the_predicted_wait_there_grows() {
    let slow = dispatch::AdapterState::Absent { waiting_loads: 3, wait_ms: 6_000 };
    let mut fixture = Fixture::new(&[("one", "here", slow), ("two", "here", ABSENT)]);
    fixture.loading_worker = Some(name::WorkerName::from("one"));
    assert_eq!(fixture.choose(0).as_deref(), Some("one"));
}

#[test]
fn local_and_reported_requests_in_flight_raise_the_cost_of_a_worker() {
    let mut fixture = Fixture::new(&[("one", "here", RESIDENT), ("two", "here", RESIDENT)]);
    let busy = name::WorkerName::from("one");
    fixture.chooser.loads.record_sent(&busy, None, GENERATION, 0);
    assert_eq!(fixture.choose(0).as_deref(), Some("two"));
    let host = name::HostName::from("other");
    let load = dispatch::ReportedLoad {
        worker: name::WorkerName::from("two"),
        in_flight: 9,
        unread_tokens: 4_000,
        memory_tokens: 6_000,
    };
    fixture.chooser.loads.apply_report(&host, vec![load], 3_000, 0);
    assert_eq!(fixture.choose(0).as_deref(), Some("one"));
    fixture.chooser.loads.expire(60_000);
    assert_eq!(fixture.choose(60_000).as_deref(), Some("two"));
}

#[test]
fn a_worker_without_a_free_slot_costs_the_queueing_time() {
    let loading = dispatch::AdapterState::Loading;
    let mut fixture = Fixture::new(&[("full", "here", RESIDENT), ("free", "here", loading)]);
    let full = name::WorkerName::from("full");
    for _ in 0..12 {
        fixture.chooser.loads.record_sent(&full, None, GENERATION, 0);
        fixture.chooser.loads.record_first_part(&full, GENERATION, 100);
    }
    assert_eq!(fixture.choose(100).as_deref(), Some("free"));
    // With short generations, a slot becomes free almost at once.
    for _ in 0..1_000 {
        fixture.chooser.generation_time.record(5, 70);
    }
    assert_eq!(fixture.choose(100).as_deref(), Some("full"));
}

#[test]
fn daemons_spread_over_equal_workers() {
    let names: Vec<_> = (0..8).map(|index| format!("w{index}")).collect();
    let workers: Vec<_> = names.iter().map(|name| (name.as_str(), "here", RESIDENT)).collect();
    let mut fixture = Fixture::new(&workers);
    let mut chosen = std::collections::BTreeSet::new();
    for index in 0..30 {
        fixture.host = name::HostName::from(format!("edge-{index}"));
        chosen.extend(fixture.choose(0));
    }
    assert!(chosen.len() >= 6, "{chosen:?}");
}

#[test]
fn failing_workers_are_avoided_until_they_recover() {
    let mut fixture = Fixture::new(&[("one", "here", RESIDENT), ("two", "there", RESIDENT)]);
    let failing = name::WorkerName::from("one");
    for now_ms in [0, 1, 2] {
        fixture.chooser.health.record_failure(&failing, now_ms);
    }
    assert_eq!(fixture.choose(10).as_deref(), Some("two"));
    assert_eq!(fixture.choose(30_000).as_deref(), Some("one"));
}

#[test]
fn a_stalled_worker_receives_no_further_requests() {
    let mut fixture = Fixture::new(&[("one", "here", RESIDENT), ("two", "there", RESIDENT)]);
    fixture.chooser.loads.record_sent(&name::WorkerName::from("one"), None, GENERATION, 0);
    assert_eq!(fixture.choose(100).as_deref(), Some("one"));
    assert_eq!(fixture.choose(2_000).as_deref(), Some("two"));
}

#[test]
fn excluded_and_draining_workers_are_never_chosen() {
    let mut fixture = Fixture::new(&[("one", "here", RESIDENT), ("two", "here", RESIDENT)]);
    fixture.workers[0].0.is_draining = true;
    assert_eq!(fixture.choose(0).as_deref(), Some("two"));
    fixture.excluded.push(name::WorkerName::from("two"));
    assert_eq!(fixture.choose(0), None);
}

#[test]
fn cached_tokens_cover_the_shared_prefix_of_a_prompt() {
    const RETENTION_MS: u64 = 20_000;
    let mut memory = dispatch::PromptCacheIndex::default();
    let parts = [
        dispatch::PromptSegment { id: 1.into(), tokens: 2_500 },
        dispatch::PromptSegment { id: 2.into(), tokens: 3_800 },
        dispatch::PromptSegment { id: 3.into(), tokens: 900 },
    ];
    let worker = name::WorkerName::from("w");
    memory.record(&worker, None, &parts, 0);
    assert_eq!(memory.cached_tokens(&worker, None, &parts, RETENTION_MS, 1), 6_300);
    let other = [parts[0], dispatch::PromptSegment { id: 9.into(), tokens: 10 }, parts[2]];
    assert_eq!(memory.cached_tokens(&worker, None, &other, RETENTION_MS, 1), 2_500);
    let adapter = name::AdapterName::from("m/a");
    assert_eq!(memory.cached_tokens(&worker, Some(&adapter), &parts, RETENTION_MS, 1), 0);
    assert_eq!(memory.cached_tokens(&worker, None, &parts, RETENTION_MS, 60_000), 0);
}

proptest! {
    /// In every window, retries stay within the ratio of its requests plus the slack.
    #[test]
    fn retries_stay_within_the_budget_of_every_window(
        events in proptest::collection::vec((0_u64..400, any::<bool>()), 1..400),
        slack in 0_u32..8,
    ) {
        const WINDOW_MS: u64 = 10_000;
        const RATIO: f64 = 0.2;
        let mut budget = dispatch::RetryBudget::new(WINDOW_MS, RATIO);
        let (mut now_ms, mut requests, mut retries) = (0, Vec::new(), Vec::new());
        for (pause_ms, is_request) in events {
            now_ms += pause_ms;
            if is_request {
                budget.record_request(now_ms);
                requests.push(now_ms);
            } else if budget.try_acquire(f64::from(slack), now_ms) {
                retries.push(now_ms);
            }
        }
        for end_ms in &retries {
            let start_ms = end_ms.saturating_sub(WINDOW_MS);
            let inside = |time_ms: &&u64| **time_ms > start_ms && *time_ms <= end_ms;
            let repeated = retries.iter().filter(inside).count();
            // The platform also counts the requests of the window before.
            let earlier_ms = start_ms.saturating_sub(WINDOW_MS);
            let counted = |time_ms: &&u64| **time_ms >= earlier_ms && *time_ms <= end_ms;
            let asked = requests.iter().filter(counted).count();
            prop_assert!(repeated as f64 <= asked as f64 * RATIO + f64::from(slack));
        }
    }
}

#[test]
fn load_that_has_passed_since_a_report_does_not_count_as_remaining() {
    const TOKENS_PER_MS: f64 = 20.0;
    const REQUEST_MS: f64 = 2_000.0;
    let worker = name::WorkerName::from("one");
    let mut loads = dispatch::Loads::default();
    for host in ["a", "b"] {
        let load = dispatch::ReportedLoad {
            worker: worker.clone(),
            in_flight: 4,
            unread_tokens: 5_000,
            memory_tokens: 6_000,
        };
        loads.apply_report(&name::HostName::from(host), vec![load], 9_000, 0);
    }
    let remaining = |now_ms| loads.remaining(&worker, TOKENS_PER_MS, REQUEST_MS, now_ms);
    assert_eq!(remaining(0), (8.0, 10_000.0));
    assert_eq!(remaining(300), (6.8, 4_000.0));
    assert_eq!(remaining(2_500), (0.0, 0.0));
    assert_eq!(loads.outstanding(&worker), (8, 10_000));
}

#[test]
fn a_worker_that_backs_off_is_not_chosen_until_the_time_it_stated_has_passed() {
    let mut fixture = Fixture::new(&[
        ("near", "here", dispatch::AdapterState::Resident),
        ("far", "there", dispatch::AdapterState::Resident),
    ]);
    assert_eq!(fixture.choose(1_000).as_deref(), Some("near"));
    let near = fixture.workers[0].0.clone();
    fixture.chooser.back_offs.record(&near, 2_000, 1_000);
    // A shorter time does not end a longer one.
    fixture.chooser.back_offs.record(&near, 100, 1_500);
    assert_eq!(fixture.choose(2_999).as_deref(), Some("far"));
    assert_eq!(fixture.choose(3_000).as_deref(), Some("near"));
    fixture.chooser.back_offs.record(&near, u64::MAX, 4_000);
    assert_eq!(fixture.choose(u64::MAX - 1).as_deref(), Some("far"));
    let restarted = upstream::Upstream { started_unix_ms: 2, ..near };
    assert_eq!(fixture.chooser.back_offs.wait_ms(&restarted, 5_000), 0);
}

#[test]
fn a_request_that_no_worker_accepts_gets_the_reason_and_the_shortest_time() {
    let mut fixture = Fixture::new(&[
        ("a", "here", dispatch::AdapterState::Resident),
        ("b", "here", dispatch::AdapterState::Resident),
    ]);
    for ((worker, _), retry_after_ms) in fixture.workers.clone().iter().zip([3_000, 800]) {
        fixture.chooser.back_offs.record(worker, retry_after_ms, 1_000);
    }
    assert_eq!(fixture.choose(1_100), None);
    let candidates: Vec<_> = fixture
        .workers
        .iter()
        .map(|(upstream, adapter)| dispatch::Candidate { upstream, adapter: *adapter })
        .collect();
    let reason = fixture.chooser.unavailability(&candidates, 1_100);
    assert_eq!(reason, Some(dispatch::Unavailability::BackingOff { wait_ms: 700.0 }));
    assert_eq!(fixture.chooser.unavailability(&candidates, 9_000), None);
}

/// Limits the workers of a fixture before a single daemon, so that each has a permit soon.
fn limit(fixture: &mut Fixture, workers: std::ops::Range<usize>, now_ms: u64) {
    let limits = &mut fixture.chooser.limits;
    limits.set_store_clock(0);
    let schedule = request_limit::PermitSchedule::new(&fixture.host, [].into_iter());
    limits.set_schedule(schedule, now_ms);
    for (upstream, _) in &fixture.workers[workers] {
        let observation = request_limit::Observation {
            worker: &upstream.name,
            started_unix_ms: upstream.started_unix_ms,
            limit_per_s: Some(5.0),
            sent_ms: now_ms,
        };
        limits.observe(&observation, now_ms);
    }
}

#[test]
fn workers_with_a_limit_are_not_all_asked_to_load_the_adapter_of_any_request() {
    let names: Vec<_> = (0..20).map(|index| format!("w{index}")).collect();
    let states: Vec<_> = names.iter().map(|name| (name.as_str(), "here", ABSENT)).collect();
    let mut fixture = Fixture::new(&states);
    limit(&mut fixture, 0..16, 1_000);
    // Many requests share the cost of a load.
    for _ in 0..40 {
        fixture.chooser.popularity.record_request(&name::AdapterName::from("m/a1"), 1_000);
    }
    let mut chosen = std::collections::BTreeSet::new();
    for step in 0..200 {
        // The loads that already wait make the workers without a limit less attractive.
        let waiting = dispatch::AdapterState::Absent { waiting_loads: step / 10, wait_ms: 0 };
        for (_, state) in &mut fixture.workers[16..] {
            *state = waiting;
        }
        let now_ms = 1_200 + u64::from(step);
        let worker = fixture.choose(now_ms).expect("a worker");
        fixture.chooser.limits.take(&name::WorkerName::from(worker.as_str()), now_ms);
        chosen.insert(worker);
    }
    let limited = chosen.iter().filter(|name| names[..16].contains(name)).count();
    assert!(limited <= 1, "{chosen:?}");
}

#[test]
fn a_worker_with_a_limit_loads_an_adapter_if_no_other_worker_can_serve_the_request() {
    let mut fixture = Fixture::new(&[("limited", "here", ABSENT), ("full", "here", ABSENT)]);
    limit(&mut fixture, 0..1, 1_000);
    fixture.only_limited = true;
    assert_eq!(fixture.choose(1_200).as_deref(), Some("limited"));
    fixture.only_limited = false;
    // Without any other worker it is asked at once.
    let mut fixture = Fixture::new(&[("a", "here", ABSENT), ("b", "here", ABSENT)]);
    limit(&mut fixture, 0..2, 1_000);
    assert!(fixture.choose(1_200).is_some());
}

#[test]
fn a_worker_with_a_limit_loads_an_adapter_while_the_others_back_off() {
    // The worker without a limit comes first for some adapter, whichever way the names hash.
    for name in ["a", "b", "c", "d"] {
        let mut fixture = Fixture::new(&[("limited", "here", ABSENT), (name, "here", ABSENT)]);
        limit(&mut fixture, 0..1, 1_000);
        let other = fixture.workers[1].0.clone();
        fixture.chooser.back_offs.record(&other, 5_000, 1_000);
        assert_eq!(fixture.choose(1_200).as_deref(), Some("limited"));
    }
}
