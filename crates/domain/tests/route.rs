//! Tests of the routing policies.

use indexmap::IndexSet;
use jasminetack_domain::adapter;
use jasminetack_domain::locality;
use jasminetack_domain::name;
use jasminetack_domain::route;
use rand::SeedableRng;

const BATCH_PLACES: u32 = 4;

fn locality_in(region: &str) -> locality::Locality {
    locality::Locality::new(name::RegionName::from(region), name::FailureDomainName::from("a"))
}

fn view(worker: &str, region: &str, loaded: &[&str]) -> route::WorkerView {
    let loaded = loaded.iter().map(|name| adapter_ref(name));
    route::WorkerView {
        name: name::WorkerName::from(worker),
        locality: locality_in(region),
        base_model: name::BaseModelName::from("base"),
        owner: Some(name::HostName::from("entry-1")),
        loaded: loaded.collect::<IndexSet<_>>(),
        outstanding: 0,
        leaving: false,
    }
}

fn adapter_ref(name: &str) -> adapter::AdapterRef {
    adapter::AdapterRef::new(name::AdapterName::from(name), 1)
}

fn worker(name: &str) -> name::WorkerName {
    name::WorkerName::from(name)
}

/// Routes requests for the adapter `a` from region `r1`.
struct Router {
    fleet: route::Fleet,
    observations: route::Observations,
    random: rand_pcg::Pcg64Mcg,
    excluded: Vec<name::WorkerName>,
}

impl Router {
    fn new(views: Vec<route::WorkerView>) -> Self {
        Self {
            fleet: views.into_iter().collect(),
            observations: route::Observations::default(),
            random: rand_pcg::Pcg64Mcg::seed_from_u64(7),
            excluded: Vec::new(),
        }
    }

    fn choose<RoutePolicy>(&mut self, policy: &RoutePolicy, now_ms: u64) -> Option<route::Decision>
    where
        RoutePolicy: route::Policy,
    {
        let request = route::RouteRequest {
            adapter: &adapter_ref("a"),
            base_model: &name::BaseModelName::from("base"),
            from: &locality_in("r1"),
            excluded: &self.excluded,
        };
        let Self { fleet, observations, random, .. } = self;
        policy.choose(&request, fleet, observations, random, now_ms)
    }

    fn chosen(&mut self, now_ms: u64) -> String {
        let decision = self.choose(&route::Scored::new(BATCH_PLACES), now_ms);
        decision.map(|decision| decision.worker.to_string()).unwrap_or_default()
    }

    fn record(&mut self, name: &str, first_token_ms: f64, now_ms: u64) {
        let base_model = name::BaseModelName::from("base");
        let latencies = self.observations.latencies_mut();
        latencies.record_first_token(&worker(name), &base_model, first_token_ms, now_ms);
    }
}

/// Guards against adapter loads while a holder of the adapter has capacity.
#[test]
fn holder_is_chosen_while_it_is_not_overloaded() {
    let mut router = Router::new(vec![
        view("holder", "r1", &["a"]),
        view("other-1", "r1", &[]),
        view("other-2", "r1", &["b"]),
    ]);
    for step in 0..BATCH_PLACES {
        assert_eq!(router.chosen(u64::from(step)), "holder");
        router.observations.record_sent(&worker("holder"));
    }
    for _ in 0..8 {
        router.observations.record_sent(&worker("holder"));
    }
    assert_ne!(router.chosen(10), "holder");
}

/// Guards against all daemons choosing the worker with the lowest last report, and against stale
/// reports that exclude a worker.
#[test]
fn own_requests_count_immediately_and_reports_decay() {
    let mut router = Router::new(vec![view("w1", "r1", &["a"]), view("w2", "r1", &["a"])]);
    router.observations.apply_report(&worker("w1"), 12, 0);
    assert_eq!(router.chosen(0), "w2");
    for _ in 0..3 {
        router.observations.record_sent(&worker("w2"));
    }
    assert_eq!(router.chosen(10_000), "w1");
}

/// Guards against requests to workers that cannot serve them.
#[test]
fn unusable_workers_are_never_chosen() {
    let mut leaving = view("leaving", "r1", &["a"]);
    leaving.leaving = true;
    let mut unowned = view("unowned", "r1", &["a"]);
    unowned.owner = None;
    let mut other_base = view("other-base", "r1", &[]);
    other_base.base_model = name::BaseModelName::from("other");
    let failed = view("failed", "r1", &["a"]);
    let mut router = Router::new(vec![leaving, unowned, other_base, failed]);
    router.excluded.push(worker("failed"));
    assert_eq!(router.choose(&route::Scored::new(BATCH_PLACES), 0), None);
    assert_eq!(router.choose(&route::Random, 0), None);
    assert_eq!(router.choose(&route::LeastOutstanding, 0), None);
}

/// Guards against paid traffic between regions while the local region has capacity, and against an
/// overloaded region while another is idle.
#[test]
fn other_region_is_used_only_when_the_local_one_is_overloaded() {
    let mut router = Router::new(vec![view("near", "r1", &[]), view("far", "r2", &["a"])]);
    router.fleet.insert(view("near", "r1", &["a"]));
    assert_eq!(router.chosen(0), "near");
    for _ in 0..10 {
        router.observations.record_sent(&worker("near"));
    }
    assert_eq!(router.chosen(0), "far");
}

/// Guards against a straggler that keeps its share of the requests, and against one that never
/// receives requests again.
#[test]
fn straggler_is_avoided_and_probed_once_a_second() {
    let names = ["w1", "w2", "w3", "slow"];
    let mut router =
        Router::new(names.iter().map(|name| view(name, "r1", &["a"])).collect::<Vec<_>>());
    for now_ms in (0..=1_500).step_by(100) {
        for name in names {
            router.record(name, if name == "slow" { 400.0 } else { 100.0 }, now_ms);
        }
    }
    assert!(router.observations.latencies().is_straggler(&worker("slow"), 1_500));
    let mut probes = 0;
    for now_ms in 1_500..3_500 {
        probes += usize::from(router.chosen(now_ms) == "slow");
    }
    assert_eq!(probes, 2);
    for now_ms in (3_500..20_000).step_by(500) {
        for name in names {
            router.record(name, 100.0, now_ms);
        }
    }
    assert!(!router.observations.latencies().is_straggler(&worker("slow"), 20_000));
}

/// Guards against a short latency spike excluding a worker.
#[test]
fn worker_is_no_straggler_before_a_second_has_passed() {
    let mut router = Router::new(Vec::new());
    for now_ms in (0..=900).step_by(100) {
        for name in ["w1", "w2", "w3"] {
            router.record(name, 100.0, now_ms);
        }
        router.record("slow", 400.0, now_ms);
    }
    assert!(!router.observations.latencies().is_straggler(&worker("slow"), 900));
}

/// Guards against stale index entries of a worker that was replaced or removed.
#[test]
fn fleet_index_follows_changes() {
    let mut fleet = route::Fleet::default();
    fleet.insert(view("w1", "r1", &["a", "b"]));
    fleet.insert(view("w2", "r1", &["a"]));
    fleet.insert(view("w1", "r2", &["b"]));
    assert_eq!(fleet.holders(&adapter_ref("a")), [worker("w2")]);
    assert_eq!(fleet.holders(&adapter_ref("b")), [worker("w1")]);
    let base = name::BaseModelName::from("base");
    assert_eq!(fleet.in_region(&base, &name::RegionName::from("r1")), [worker("w2")]);
    fleet.remove(&worker("w1"));
    assert!(fleet.holders(&adapter_ref("b")).is_empty());
    assert_eq!(fleet.len(), 1);
}

/// Guards against baseline policies that do not spread requests.
#[test]
fn baselines_spread_requests() {
    let mut router = Router::new(vec![view("w1", "r1", &["a"]), view("w2", "r1", &[])]);
    let mut counts = [0, 0];
    for _ in 0..200 {
        let decision = router.choose(&route::Random, 0).unwrap();
        counts[usize::from(decision.worker == worker("w2"))] += 1;
    }
    assert!(counts.iter().all(|count| *count > 50), "random chose {counts:?}");
    router.observations.record_sent(&worker("w1"));
    assert_eq!(router.choose(&route::LeastOutstanding, 0).unwrap().worker, worker("w2"));
}
