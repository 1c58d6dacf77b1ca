//! Tests of the choice between a worker that holds the beginning of a prompt and one with more room.

use jasminetack_domain::dispatch;
use jasminetack_domain::locality;
use jasminetack_domain::name;
use jasminetack_domain::upstream;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A long prompt, most of which other requests share.
const SIZE: dispatch::RequestSize =
    dispatch::RequestSize { prompt_tokens: 9_200, answer_tokens: 50 };
const CAPACITY_TOKENS: u32 = 60_000;
/// Time of a generation, as measured before each test.
const REQUEST_MS: u64 = 500;

fn parts() -> [dispatch::PromptSegment; 2] {
    [
        dispatch::PromptSegment { id: 1.into(), tokens: 6_300 },
        dispatch::PromptSegment { id: 2.into(), tokens: 2_900 },
    ]
}

fn service() -> name::ServiceName {
    name::ServiceName::from("llm")
}

fn worker(name: &str) -> upstream::Upstream {
    upstream::Upstream {
        name: name::WorkerName::from(name),
        service: service(),
        address: ([127, 0, 0, 1], 80).into(),
        locality: locality::Locality::new(
            name::RegionName::from("here"),
            name::FailureDomainName::from("a"),
        ),
        slots: 12,
        is_draining: false,
        started_unix_ms: 1,
        base_models: Vec::new(),
        adapters: Vec::new(),
    }
}

/// Two workers, the first of which has read the shared part of the prompt at time 0.
struct Fixture {
    workers: [upstream::Upstream; 2],
    chooser: dispatch::Chooser,
    capacity_tokens: Option<u32>,
}

impl Fixture {
    fn new(capacity_tokens: Option<u32>) -> Self {
        let workers = [worker("holds"), worker("other")];
        let mut chooser = dispatch::Chooser::default();
        chooser.prompt_cache.record(&workers[0].name, None, &parts(), 0);
        for _ in 0..500 {
            chooser.generation_time.record(REQUEST_MS, 70);
        }
        Self { workers, chooser, capacity_tokens }
    }

    fn choose(&mut self, now_ms: u64) -> dispatch::Choice {
        let from = locality::Locality::new(
            name::RegionName::from("here"),
            name::FailureDomainName::from("a"),
        );
        let adapter = dispatch::AdapterState::Resident;
        let candidates =
            self.workers.each_ref().map(|upstream| dispatch::Candidate { upstream, adapter });
        let choice = dispatch::ChoiceRequest {
            host: &name::HostName::from("edge-0"),
            from: &from,
            adapter: None,
            parts: &parts(),
            size: SIZE,
            memory_capacity_tokens: self.capacity_tokens,
            loading_worker: None,
            excluded: &[],
            permit: None,
            max_permit_wait_ms: 0,
            only_limited: false,
        };
        self.chooser.choose(&choice, &candidates, now_ms).expect("a worker")
    }

    /// Puts requests of another daemon on a worker.
    fn load(&mut self, worker: usize, in_flight: u32, unread_tokens: u32, memory_tokens: u32) {
        let worker = self.workers[worker].name.clone();
        let load = dispatch::ReportedLoad { worker, in_flight, unread_tokens, memory_tokens };
        let host = name::HostName::from("edge-1");
        self.chooser.loads.apply_report(&host, vec![load], u64::MAX, 0);
    }
}

#[test]
fn a_held_prefix_decides_between_idle_workers() {
    let mut fixture = Fixture::new(Some(CAPACITY_TOKENS));
    let choice = fixture.choose(100);
    assert_eq!(choice.decision.worker.as_str(), "holds");
    assert_eq!(choice.prefix.held_tokens, 6_300);
    assert_eq!(choice.prefix.unread_tokens, 2_900);
    assert_eq!(choice.prefix.room_tokens, Some(CAPACITY_TOKENS));
    assert!(choice.prefix.saved_ms > 100.0, "{choice:?}");
}

/// Guards against waiting longer for a cached prefix than it takes to read it elsewhere.
#[test]
fn a_request_goes_elsewhere_once_the_wait_costs_more_than_the_prefix_saves() {
    // Prompts that wait at the worker are read first, at the same rate as the prefix elsewhere; a
    // daemon's fixed preference among workers is less than the time of 1,200 tokens.
    for (unread_tokens, expected) in [(5_000, "holds"), (7_600, "other")] {
        let mut fixture = Fixture::new(Some(CAPACITY_TOKENS));
        fixture.load(0, 1, unread_tokens, unread_tokens);
        assert_eq!(fixture.choose(100).decision.worker.as_str(), expected, "{unread_tokens}");
    }
}

/// Guards against preempting running requests for a cached prefix while another worker has room.
#[test]
fn a_worker_without_room_is_not_chosen_for_a_prefix() {
    let mut fixture = Fixture::new(Some(CAPACITY_TOKENS));
    fixture.load(0, 6, 0, 44_000);
    assert_eq!(fixture.choose(50).decision.worker.as_str(), "holds");
    fixture.load(0, 6, 0, CAPACITY_TOKENS);
    let choice = fixture.choose(50);
    assert_eq!(choice.decision.worker.as_str(), "other");
    assert_eq!(choice.prefix.room_tokens, Some(CAPACITY_TOKENS));
}

/// Guards against counting on a prefix that the requests since then have evicted.
#[test]
fn a_prefix_is_forgotten_when_the_requests_since_have_taken_its_memory() {
    // 30,000 tokens in flight are replaced every 500 ms, so the free 30,000 are used up in 500 ms.
    let mut fixture = Fixture::new(Some(CAPACITY_TOKENS));
    fixture.load(0, 2, 0, 30_000);
    assert_eq!(fixture.choose(400).prefix.held_tokens, 6_300);
    assert_eq!(fixture.choose(600).prefix.held_tokens, 0);
    let mut idle = Fixture::new(Some(CAPACITY_TOKENS));
    assert_eq!(idle.choose(10_000).prefix.held_tokens, 6_300);
    assert_eq!(idle.choose(21_000).prefix.held_tokens, 0);
}

#[test]
fn without_a_known_memory_only_time_makes_a_prefix_forgotten() {
    let mut fixture = Fixture::new(None);
    fixture.load(0, 2, 0, 1_000_000);
    let choice = fixture.choose(10_000);
    assert_eq!((choice.prefix.held_tokens, choice.prefix.room_tokens), (6_300, None));
    assert_eq!(fixture.choose(21_000).prefix.held_tokens, 0);
}

/// Guards against a rate that belongs to other engines: queues would be predicted at a multiple of their
/// length, and requests refused that could be served.
#[test]
fn the_rate_of_engines_is_learned_within_fifty_requests() {
    for tokens_per_ms in [19.1, 44.2] {
        let mut random = Pcg64Mcg::seed_from_u64(1);
        let mut rate = dispatch::PrefillRate::default();
        for index in 0..50 {
            let tokens = if index % 10 == 9 { 9_200 } else { random.random_range(400..900) };
            // Network, the steps of the batch, and now and then a wait for something else.
            let other_ms = random.random_range(5.0..25.0) + f64::from(index % 17 / 16) * 1_500.0;
            let took_ms = f64::from(tokens) / tokens_per_ms + other_ms;
            rate.record(&service(), tokens, took_ms as u64);
        }
        let learned = rate.tokens_per_ms(&service());
        let error = (learned / tokens_per_ms - 1.0).abs();
        assert!(error < 0.15, "{learned} instead of {tokens_per_ms}");
    }
}

/// Guards against refusals after a start: the mean time of generations was known only after a hundred.
#[test]
fn the_time_of_generations_is_learned_within_ten() {
    for took_ms in [200, 4_000] {
        let mut time = dispatch::GenerationTime::default();
        for _ in 0..10 {
            time.record(took_ms, 70);
        }
        let error = time.mean_ms() / took_ms as f64;
        assert!((0.7..2.0).contains(&error), "{} instead of {took_ms}", time.mean_ms());
    }
}
