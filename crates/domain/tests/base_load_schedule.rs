//! Tests of the order in which the workers of a fleet load their base models.

use indexmap::IndexSet;
use jasminetack_domain::locality;
use jasminetack_domain::name;
use jasminetack_domain::placement::{
    BaseLoadLimit, BaseLoadSchedule, FinishedBaseLoad, LackingWorker, LocalCopies, WeightStore,
};
use jasminetack_domain::upstream;

const NOMINAL_MS: u64 = 4_000;
const WEIGHT_STORE: WeightStore = WeightStore { load_ms: NOMINAL_MS, loads_per_s: 40.0 };
const STEP_MS: u64 = 50;
/// Delay after which one daemon knows what the others do.
const REPORT_DELAY_MS: u64 = 1_000;

/// Workers of a fleet whose weight store serves `full_speed` loads at once; each worker has a holder
/// of its own that knows the others' states late.
struct FleetModel {
    full_speed: f64,
    workers: usize,
    /// Megabytes, expressed as milliseconds at full speed, that each lacking worker has yet to load.
    left_ms: Vec<Option<f64>>,
    /// Time at which the load of each worker was started.
    started_ms: Vec<Option<(u64, usize)>>,
    schedules: Vec<BaseLoadSchedule>,
    loaded_at_ms: Vec<u64>,
}

impl FleetModel {
    fn new(workers: usize, lacking: usize, full_speed: f64) -> Self {
        Self {
            full_speed,
            workers,
            left_ms: vec![Some(NOMINAL_MS as f64); lacking],
            started_ms: vec![None; lacking],
            schedules: vec![BaseLoadSchedule::default(); lacking],
            loaded_at_ms: Vec::new(),
        }
    }

    fn lacking(&self, known_until_ms: u64, own: usize) -> Vec<LackingWorker> {
        let mut lacking = Vec::new();
        for (index, left_ms) in self.left_ms.iter().enumerate() {
            if left_ms.is_none() {
                continue;
            }
            let started_ms = self.started_ms[index].map(|(started_ms, _)| started_ms);
            lacking.push(LackingWorker {
                name: name::WorkerName::from(format!("w{index:02}").as_str()),
                started_unix_ms: index as u64,
                is_loading: started_ms
                    .is_some_and(|started_ms| index == own || started_ms <= known_until_ms),
                has_local_copy: false,
            });
        }
        lacking
    }

    fn run(mut self) -> Vec<u64> {
        let mut now_ms = REPORT_DELAY_MS;
        while self.left_ms.iter().any(Option::is_some) {
            assert!(now_ms < 600_000, "loads did not finish");
            let loading = |fleet: &Self| {
                (0..fleet.left_ms.len())
                    .filter(|index| {
                        fleet.left_ms[*index].is_some() && fleet.started_ms[*index].is_some()
                    })
                    .count()
            };
            for index in 0..self.left_ms.len() {
                if self.left_ms[index].is_none() || self.started_ms[index].is_some() {
                    continue;
                }
                let lacking = self.lacking(now_ms - REPORT_DELAY_MS, index);
                let own = name::WorkerName::from(format!("w{index:02}").as_str());
                let due = self.schedules[index].due(lacking, self.workers, WEIGHT_STORE, now_ms);
                if due.contains(&own) {
                    self.started_ms[index] = Some((now_ms, loading(&self)));
                }
            }
            let share = (self.full_speed / loading(&self).max(1) as f64).min(1.0);
            for index in 0..self.left_ms.len() {
                let Some((started_ms, others)) = self.started_ms[index] else { continue };
                let Some(left_ms) = &mut self.left_ms[index] else { continue };
                *left_ms -= share * STEP_MS as f64;
                if *left_ms > 0.0 {
                    continue;
                }
                self.left_ms[index] = None;
                self.loaded_at_ms.push(now_ms - REPORT_DELAY_MS);
                let load = FinishedBaseLoad {
                    took_ms: now_ms - started_ms,
                    loads_at_start: others + 1,
                    loads_at_end: loading(&self) + 1,
                };
                self.schedules[index].record(load, NOMINAL_MS, now_ms);
                let limit = self.schedules[index].limit();
                for schedule in &mut self.schedules {
                    limit.into_iter().for_each(|limit| schedule.observe_limit(limit));
                }
            }
            now_ms += STEP_MS;
        }
        self.loaded_at_ms
    }
}

fn mean(values: &[u64]) -> f64 {
    values.iter().sum::<u64>() as f64 / values.len() as f64
}

#[test]
fn a_release_of_most_workers_loads_one_after_the_other() {
    // The weight store of a small fleet serves one load at full speed. All loads at once would all end
    // after 6 x 4 s, the first ones included.
    let loaded_at_ms = FleetModel::new(9, 6, 1.0).run();
    assert!(loaded_at_ms[0] < 5_000, "{loaded_at_ms:?}");
    assert!(loaded_at_ms[2] < 16_000, "{loaded_at_ms:?}");
    assert!(mean(&loaded_at_ms) < 0.75 * 24_000.0, "{loaded_at_ms:?}");
    assert!(loaded_at_ms[5] < 30_000, "{loaded_at_ms:?}");
}

#[test]
fn a_store_that_serves_several_loads_at_full_speed_is_kept_busy() {
    for (workers, full_speed) in [(140, 8.0), (140, 24.0), (40, 8.0)] {
        let loaded_at_ms = FleetModel::new(workers, 24, full_speed).run();
        let ideal_ms = 24.0 / full_speed * NOMINAL_MS as f64;
        let last_ms = *loaded_at_ms.last().expect("loads") as f64;
        assert!(
            last_ms < 2.0 * ideal_ms + 3.0 * NOMINAL_MS as f64,
            "{full_speed}: {loaded_at_ms:?}"
        );
    }
}

#[test]
fn a_worker_that_does_not_start_or_finish_its_load_does_not_block_the_others() {
    let mut schedule = BaseLoadSchedule::default();
    let worker = |name: &str, is_loading| LackingWorker {
        name: name::WorkerName::from(name),
        started_unix_ms: u64::from(name == "second"),
        is_loading,
        has_local_copy: false,
    };
    for first_is_loading in [false, true] {
        let lacking = || vec![worker("first", first_is_loading), worker("second", false)];
        let second = name::WorkerName::from("second");
        assert!(!schedule.due(lacking(), 9, WEIGHT_STORE, 1_000).contains(&second));
        let due = schedule.due(lacking(), 9, WEIGHT_STORE, 1_000 + 4 * NOMINAL_MS);
        assert!(due.contains(&second), "{due:?}");
        schedule.due(Vec::new(), 9, WEIGHT_STORE, 0);
    }
}

#[test]
fn loads_at_full_speed_do_not_raise_a_limit_that_slow_loads_have_shown() {
    let mut schedule = BaseLoadSchedule::default();
    let load =
        |took_ms, loads| FinishedBaseLoad { took_ms, loads_at_start: loads, loads_at_end: loads };
    schedule.record(load(2 * NOMINAL_MS, 2), NOMINAL_MS, 10_000);
    let ceiling = BaseLoadLimit { loads: 1.0, is_ceiling: true, measured_store_ms: 10_000 };
    assert_eq!(schedule.limit(), Some(ceiling));
    schedule.record(load(NOMINAL_MS, 1), NOMINAL_MS, 20_000);
    assert_eq!(schedule.limit(), Some(ceiling));
    schedule.record(load(NOMINAL_MS, 1), NOMINAL_MS, 80_000);
    assert_eq!(schedule.limit().map(|limit| limit.loads), Some(2.0));
}

#[test]
fn all_daemons_choose_the_same_workers() {
    let worker = |index: u64| LackingWorker {
        name: name::WorkerName::from(format!("w{index}").as_str()),
        started_unix_ms: index / 2,
        is_loading: false,
        has_local_copy: false,
    };
    let due = |order: Vec<u64>| -> IndexSet<name::WorkerName> {
        let lacking = order.into_iter().map(worker).collect();
        BaseLoadSchedule::default().due(lacking, 48, WEIGHT_STORE, 0)
    };
    assert_eq!(due(vec![0, 1, 2, 3, 4, 5]), due(vec![5, 2, 0, 4, 1, 3]));
}

#[test]
fn loads_that_begin_in_a_window_stay_within_the_permitted_rate() {
    // A large fleet assumes many loads at once; its weight store permits few.
    const WINDOW_S: f64 = 5.0;
    for (load_ms, loads_per_s) in [(4_300, 2.1), (2_000, 3.5), (500, 6.0), (60_000, 0.5)] {
        let weight_store = WeightStore { load_ms, loads_per_s };
        let lacking = (0..400).map(|index: u64| LackingWorker {
            name: name::WorkerName::from(format!("w{index:03}").as_str()),
            started_unix_ms: index,
            is_loading: false,
            has_local_copy: false,
        });
        let mut schedule = BaseLoadSchedule::default();
        let at_once = schedule.due(lacking.collect(), 850, weight_store, 0).len() as f64;
        let begun = at_once * (1.0 + WINDOW_S * 1_000.0 / load_ms as f64);
        let permitted = (loads_per_s * WINDOW_S * 1.1 + 3.0).floor();
        assert!(begun.floor() <= permitted, "{begun} of {permitted} for {weight_store:?}");
    }
}

#[test]
fn workers_that_restart_with_a_local_copy_load_at_once() {
    // A crash of a quarter of a fleet: the restarted workers have the weights on their disks.
    let lacking = (0..35).map(|index: u64| LackingWorker {
        name: name::WorkerName::from(format!("w{index:02}").as_str()),
        started_unix_ms: index,
        is_loading: false,
        has_local_copy: index != 3 && index != 9,
    });
    let mut schedule = BaseLoadSchedule::default();
    let due = schedule.due(lacking.collect(), 9, WEIGHT_STORE, 0);
    assert_eq!(due.len(), 34, "all that have a copy, and one from the store: {due:?}");
}

#[test]
fn a_local_copy_belongs_to_an_address_and_a_service() {
    let worker = |name: &str, port: u16, service: &str, has_model: bool| upstream::Upstream {
        name: name::WorkerName::from(name),
        service: name::ServiceName::from(service),
        address: ([10, 0, 0, 1], port).into(),
        locality: locality::Locality::new(
            name::RegionName::from("r"),
            name::FailureDomainName::from("a"),
        ),
        slots: 4,
        is_draining: false,
        started_unix_ms: 1,
        base_models: has_model.then(|| name::BaseModelName::from("m")).into_iter().collect(),
        adapters: Vec::new(),
    };
    let mut copies = LocalCopies::default();
    copies.record(&worker("before", 80, "llm", true));
    copies.record(&worker("empty", 81, "llm", false));
    assert!(copies.contains(&worker("restarted", 80, "llm", false)));
    assert!(!copies.contains(&worker("empty", 81, "llm", false)));
    assert!(!copies.contains(&worker("other", 80, "other-llm", false)));
}
