//! How many adapters may be in transit over all workers before each of them takes longer.

use std::collections::VecDeque;

/// Limit before any load was observed.
const INITIAL: f64 = 8.0;
/// Least limit.
const LEAST: f64 = 4.0;
/// Time of a load up to which the worker had a copy of the adapter, so that nothing was in transit.
const COPY_LOAD_MS: u64 = 200;
/// Factor of the shortest load from which loads slow each other down; what lies below it is the
/// interval of asking for the end of a load.
const SLOWED: f64 = 1.25;
/// Loads of which the fastest one is looked at, since some end late for other reasons.
const WINDOW: usize = 3;
/// Part of the loads in transit by which the limit grows beyond them.
const GROWTH: f64 = 0.125;

/// A load that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedLoad {
    /// Time that it took in milliseconds.
    pub took_ms: u64,
    /// Loads in transit over all workers when it began, itself included.
    pub concurrent_loads: usize,
}

/// Loads in transit over all workers, and how many there may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetLoads {
    /// Loads in transit at all other workers.
    pub others_in_flight: usize,
    /// Loads in transit beyond which each takes longer.
    pub limit: usize,
}

/// Estimate of how many adapters may be in transit before each of them takes longer.
///
/// The weight store does not tell its limit. Loads that are as fast as ever while many are in transit
/// raise the estimate above their number; loads that are slower by a factor lower it by that factor.
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

    /// Takes in a load that has ended.
    pub fn record(&mut self, load: FinishedLoad) {
        if load.took_ms <= COPY_LOAD_MS {
            return;
        }
        self.fastest_ms = self.fastest_ms.min(load.took_ms);
        self.recent.push_back(load);
        if self.recent.len() > WINDOW {
            self.recent.pop_front();
        }
        let concurrent_loads = load.concurrent_loads as f64;
        if self.slowdown(load) < SLOWED {
            if load.concurrent_loads >= self.limit() {
                self.limit = concurrent_loads + (concurrent_loads * GROWTH).max(1.0);
            }
            return;
        }
        let fastest = self.recent.iter().min_by_key(|load| load.took_ms);
        let Some(fastest) = fastest.copied().filter(|_| self.recent.len() == WINDOW) else {
            return;
        };
        let slowdown = self.slowdown(fastest);
        if slowdown >= SLOWED {
            self.limit = (fastest.concurrent_loads as f64 / slowdown).max(LEAST);
            self.recent.clear();
        }
    }

    fn slowdown(&self, load: FinishedLoad) -> f64 {
        load.took_ms as f64 / self.fastest_ms as f64
    }
}

impl Default for ConcurrentLoadLimit {
    fn default() -> Self {
        Self { limit: INITIAL, fastest_ms: u64::MAX, recent: VecDeque::new() }
    }
}
