//! Order in which the workers of a fleet load their base models.

use indexmap::{IndexMap, IndexSet};

use crate::name;

/// Workers of a service for each concurrent load, until a load has been measured. Too many at once only
/// slow each other down until the first one ends; too few leave the weight store idle.
const WORKERS_PER_ASSUMED_LOAD: usize = 16;
/// Ratio to the nominal time below which the weights came from the worker's local copy.
const LOCAL_COPY_RATIO: f64 = 0.6;
/// Ratio to the nominal time above which loads slow each other down.
const SLOWDOWN_THRESHOLD: f64 = 1.25;
/// Share of the concurrent loads by which the limit is raised above their number.
const GROWTH_RATIO: f64 = 0.5;
/// Time for which a limit found by slow loads is not raised again by loads at full speed.
const CEILING_LIFETIME_MS: u64 = 60_000;
/// Time after which a worker whose turn has come, and which does not load, is passed over.
const START_TIMEOUT_MS: u64 = 2_500;
/// Multiple of the expected time after which a load counts as hung and others take its place.
const HUNG_FACTOR: f64 = 3.0;

/// Window in which the weight store counts the loads that begin.
const RATE_WINDOW_MS: f64 = 5_000.0;

/// What the configuration states of the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightStore {
    /// Time of a load at full speed.
    pub load_ms: u64,
    /// Loads that may begin in a second, over all workers.
    pub loads_per_s: f64,
}

impl WeightStore {
    /// Returns how many loads may run at once so that those that begin in a window, the first ones and
    /// their successors, stay within the permitted rate.
    fn max_loads(self) -> usize {
        let permitted = self.loads_per_s * RATE_WINDOW_MS / 1_000.0;
        let rounds = 1.0 + RATE_WINDOW_MS / self.load_ms.max(1) as f64;
        ((permitted / rounds) as usize).max(1)
    }
}

/// Worker that lacks its base model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LackingWorker {
    /// Name of the worker.
    pub name: name::WorkerName,
    /// Start of the worker in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Whether it is loading the model.
    pub is_loading: bool,
    /// Whether it has a local copy, which it loads without the weight store.
    pub has_local_copy: bool,
}

/// A completed load of a base model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedBaseLoad {
    /// Load time in milliseconds.
    pub took_ms: u64,
    /// Loads in progress in the fleet when it started, itself included.
    pub loads_at_start: usize,
    /// Loads in progress in the fleet when it ended, itself included.
    pub loads_at_end: usize,
}

/// Number of base model loads that the weight store serves at full speed, and when it was measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BaseLoadLimit {
    /// Concurrent loads.
    pub loads: f64,
    /// Whether loads above the limit were seen to slow each other down.
    pub is_ceiling: bool,
    /// Time of the measurement on the store's clock.
    pub measured_store_ms: u64,
}

/// Turn of a worker to load.
#[derive(Clone, Copy, Debug)]
struct Turn {
    /// Time since which the worker should load, or does.
    since_ms: u64,
    is_loading: bool,
}

/// Decides which workers load their base model now.
///
/// Above a limit that the weight store does not publish, concurrent loads share its bandwidth: one
/// after the other, the first worker can serve much sooner and the last one no later. All daemons
/// order the workers alike, by their start, so that the holders need no agreement.
#[derive(Clone, Debug, Default)]
pub struct BaseLoadSchedule {
    limit: Option<BaseLoadLimit>,
    /// Workers whose turn has come.
    turns: IndexMap<name::WorkerName, Turn>,
    /// Workers that were loading at the last decision.
    loading: usize,
    /// Concurrent loads that the last decision permitted.
    permitted: usize,
}

impl BaseLoadSchedule {
    /// Returns the measured limit.
    #[must_use]
    pub fn limit(&self) -> Option<BaseLoadLimit> {
        self.limit
    }

    /// Adopts a limit that another daemon measured if it is newer.
    pub fn observe_limit(&mut self, limit: BaseLoadLimit) {
        if self.limit.is_none_or(|known| known.measured_store_ms < limit.measured_store_ms) {
            self.limit = Some(limit);
        }
    }

    /// Updates the limit with a completed load, whose time at full speed is `nominal_ms`.
    pub fn record(&mut self, load: FinishedBaseLoad, nominal_ms: u64, store_ms: u64) {
        let slowdown = load.took_ms as f64 / nominal_ms.max(1) as f64;
        if slowdown < LOCAL_COPY_RATIO {
            return;
        }
        let concurrent = (load.loads_at_start + load.loads_at_end).div_ceil(2) as f64;
        let most = load.loads_at_start.max(load.loads_at_end) as f64;
        let is_ceiling = slowdown >= SLOWDOWN_THRESHOLD;
        let loads = if is_ceiling {
            (most / slowdown).max(1.0)
        } else {
            let is_recent_ceiling = self.limit.is_some_and(|known| {
                let age_ms = store_ms.saturating_sub(known.measured_store_ms);
                known.is_ceiling && age_ms < CEILING_LIFETIME_MS
            });
            if is_recent_ceiling || concurrent < self.permitted as f64 {
                return;
            }
            concurrent + (concurrent * GROWTH_RATIO).max(1.0)
        };
        self.limit = Some(BaseLoadLimit { loads, is_ceiling, measured_store_ms: store_ms });
    }

    /// Returns the number of workers that were loading at the last decision.
    #[must_use]
    pub fn loading(&self) -> usize {
        self.loading
    }

    /// Returns the workers that may load now, those that are loading among them.
    ///
    /// `workers` is the number of all workers.
    pub fn due(
        &mut self,
        mut lacking: Vec<LackingWorker>,
        workers: usize,
        weight_store: WeightStore,
        now_ms: u64,
    ) -> IndexSet<name::WorkerName> {
        lacking.sort_by(|left, right| {
            let order = |worker: &LackingWorker| (!worker.is_loading, worker.started_unix_ms);
            order(left).cmp(&order(right)).then_with(|| left.name.cmp(&right.name))
        });
        let mut due = IndexSet::new();
        lacking.retain(|worker| {
            if worker.has_local_copy {
                due.insert(worker.name.clone());
            }
            !worker.has_local_copy
        });
        self.turns.retain(|name, _| lacking.iter().any(|worker| worker.name == *name));
        let measured = self.limit.map(|limit| limit.loads as usize);
        let limit = measured.unwrap_or(workers / WORKERS_PER_ASSUMED_LOAD);
        let limit = limit.clamp(1, weight_store.max_loads());
        self.permitted = limit;
        let loading = lacking.iter().filter(|worker| worker.is_loading).count();
        self.loading = loading;
        let slowdown = (loading as f64 / limit as f64).max(1.0);
        let hung_ms = (weight_store.load_ms as f64 * slowdown * HUNG_FACTOR) as u64;
        let mut counted = 0;
        for worker in lacking {
            if counted >= limit && !worker.is_loading {
                break;
            }
            let new = Turn { since_ms: now_ms, is_loading: worker.is_loading };
            let turn = self.turns.entry(worker.name.clone()).or_insert(new);
            if turn.is_loading != worker.is_loading {
                *turn = new;
            }
            let timeout_ms = if worker.is_loading { hung_ms } else { START_TIMEOUT_MS };
            counted += usize::from(now_ms.saturating_sub(turn.since_ms) < timeout_ms);
            due.insert(worker.name);
        }
        due
    }
}
