//! Worker failures observed by this daemon.

use rustc_hash::FxHashMap;

use crate::name;

/// Half-life of a failure.
const FAILURE_HALF_LIFE_MS: f64 = 1_500.0;
/// Decayed number of failures from which a worker receives only probes.
const FAILING_THRESHOLD: f64 = 1.5;
/// Interval between probe requests to a failing worker.
const PROBE_INTERVAL_MS: u64 = 500;

/// Recent failures by worker.
#[derive(Clone, Debug, Default)]
pub struct Health {
    workers: FxHashMap<name::WorkerName, Record>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: f64,
    at_ms: u64,
    probed_ms: u64,
}

impl Record {
    fn failures(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.failures * (-age_ms / FAILURE_HALF_LIFE_MS).exp2()
    }
}

impl Health {
    /// Records that a request failed because of the worker.
    pub fn record_failure(&mut self, worker: &name::WorkerName, now_ms: u64) {
        let record = self.workers.entry(worker.clone()).or_default();
        record.failures = record.failures(now_ms) + 1.0;
        record.at_ms = now_ms;
    }

    /// Records a successful answer.
    pub fn record_success(&mut self, worker: &name::WorkerName, now_ms: u64) {
        let Some(record) = self.workers.get_mut(worker) else { return };
        record.failures = record.failures(now_ms) / 2.0;
        record.at_ms = now_ms;
        if record.failures < 0.1 {
            self.workers.remove(worker);
        }
    }

    /// Returns the decayed number of failures.
    #[must_use]
    pub fn failures(&self, worker: &name::WorkerName, now_ms: u64) -> f64 {
        self.workers.get(worker).map_or(0.0, |record| record.failures(now_ms))
    }

    /// Returns whether a worker receives only probes.
    #[must_use]
    pub fn is_failing(&self, worker: &name::WorkerName, now_ms: u64) -> bool {
        self.failures(worker, now_ms) >= FAILING_THRESHOLD
    }

    /// Returns whether a failing worker may receive a probe request now, and records it if so.
    pub fn try_probe(&mut self, worker: &name::WorkerName, now_ms: u64) -> bool {
        let Some(record) = self.workers.get_mut(worker) else { return true };
        if now_ms.saturating_sub(record.probed_ms.max(record.at_ms)) < PROBE_INTERVAL_MS {
            return false;
        }
        record.probed_ms = now_ms;
        true
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: &name::WorkerName) {
        self.workers.remove(worker);
    }
}
