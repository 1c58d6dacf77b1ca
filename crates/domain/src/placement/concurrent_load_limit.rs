//! Adaptive limit on concurrent adapter loads over all workers.

use std::collections::VecDeque;

/// Limit before the first observed load.
const INITIAL_LIMIT: f64 = 8.0;
/// Lower bound of the limit.
const MIN_LIMIT: f64 = 4.0;
/// Loads up to this time came from the worker's local copy and say nothing about the weight store.
const MAX_CACHED_LOAD_MS: u64 = 200;
/// Ratio to the fastest load above which loads slow each other down; smaller differences come from
/// the interval between polls.
const SLOWDOWN_THRESHOLD: f64 = 1.25;
/// Recent loads of which the fastest is compared, since single loads end late for other reasons.
const SLOWDOWN_SAMPLES: usize = 3;
/// Share of the concurrent loads by which the limit is raised above their number.
const GROWTH_RATIO: f64 = 0.125;

/// A completed load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedLoad {
    /// Load time in milliseconds.
    pub took_ms: u64,
    /// Loads in flight over all workers when it started, itself included.
    pub concurrent_loads: usize,
}

/// Loads in flight on the other workers, and the limit for the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetLoads {
    /// Loads in flight on all other workers.
    pub others_in_flight: usize,
    /// Loads in flight above which each takes longer.
    pub limit: usize,
    /// Whether the worker may start to load its base model.
    pub may_load_base_model: bool,
    /// Base models that other workers are loading.
    pub other_base_loads: usize,
}

/// Estimate of how many adapter loads can run concurrently before each of them takes longer.
///
/// The weight store does not publish its limit. Full-speed loads raise the estimate above the number
/// of loads that ran concurrently; loads slowed by a factor lower it by that factor.
#[derive(Clone, Debug, PartialEq)]
pub struct ConcurrentLoadLimit {
    limit: f64,
    fastest_ms: u64,
    recent: VecDeque<FinishedLoad>,
}

impl ConcurrentLoadLimit {
    /// Returns the estimate.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Updates the estimate with a completed load.
    pub fn record(&mut self, load: FinishedLoad) {
        if load.took_ms <= MAX_CACHED_LOAD_MS {
            return;
        }
        self.fastest_ms = self.fastest_ms.min(load.took_ms);
        self.recent.push_back(load);
        if self.recent.len() > SLOWDOWN_SAMPLES {
            self.recent.pop_front();
        }
        let concurrent_loads = load.concurrent_loads as f64;
        if self.slowdown(load) < SLOWDOWN_THRESHOLD {
            if load.concurrent_loads >= self.limit() {
                self.limit = concurrent_loads + (concurrent_loads * GROWTH_RATIO).max(1.0);
            }
            return;
        }
        let fastest = self.recent.iter().min_by_key(|load| load.took_ms);
        let Some(fastest) = fastest.copied().filter(|_| self.recent.len() == SLOWDOWN_SAMPLES)
        else {
            return;
        };
        let slowdown = self.slowdown(fastest);
        if slowdown >= SLOWDOWN_THRESHOLD {
            self.limit = (fastest.concurrent_loads as f64 / slowdown).max(MIN_LIMIT);
            self.recent.clear();
        }
    }

    fn slowdown(&self, load: FinishedLoad) -> f64 {
        load.took_ms as f64 / self.fastest_ms as f64
    }
}

impl Default for ConcurrentLoadLimit {
    fn default() -> Self {
        Self { limit: INITIAL_LIMIT, fastest_ms: u64::MAX, recent: VecDeque::new() }
    }
}
