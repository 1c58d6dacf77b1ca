//! Worker load and latency observed by a daemon.

use rustc_hash::FxHashMap;

use super::LatencyTracker;
use crate::name;

/// Half-life of a reported queue length.
const REPORT_HALF_LIFE_MS: f64 = 1_000.0;

/// Worker load and latency observed from the daemon's own requests and their replies.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    workers: FxHashMap<name::WorkerName, Observed>,
    latencies: LatencyTracker,
}

#[derive(Clone, Copy, Debug, Default)]
struct Observed {
    in_flight: u32,
    /// Requests of other daemons, from the last report.
    others: u32,
    reported_ms: u64,
}

impl Observations {
    /// Records a request sent to a worker.
    pub fn record_sent(&mut self, worker: &name::WorkerName) {
        self.workers.entry(worker.clone()).or_default().in_flight += 1;
    }

    /// Records the end of a request at a worker.
    pub fn record_end(&mut self, worker: &name::WorkerName) {
        let Some(observed) = self.workers.get_mut(worker) else { return };
        observed.in_flight = observed.in_flight.saturating_sub(1);
    }

    /// Updates the number of requests reported by a worker's owner with a reply.
    pub fn apply_report(&mut self, worker: &name::WorkerName, outstanding: u32, now_ms: u64) {
        let observed = self.workers.entry(worker.clone()).or_default();
        observed.others = outstanding.saturating_sub(observed.in_flight);
        observed.reported_ms = now_ms;
    }

    /// Estimates the requests at a worker: the daemon's own, plus others decayed by the report's age.
    #[must_use]
    pub fn outstanding(&self, worker: &name::WorkerName, now_ms: u64) -> f64 {
        let Some(observed) = self.workers.get(worker) else { return 0.0 };
        let age_ms = now_ms.saturating_sub(observed.reported_ms) as f64;
        let others = f64::from(observed.others) * (-age_ms / REPORT_HALF_LIFE_MS).exp2();
        f64::from(observed.in_flight) + others
    }

    /// Returns the observed latencies.
    #[must_use]
    pub fn latencies(&self) -> &LatencyTracker {
        &self.latencies
    }

    /// Returns the observed latencies for recording.
    pub fn latencies_mut(&mut self) -> &mut LatencyTracker {
        &mut self.latencies
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: &name::WorkerName) {
        self.workers.remove(worker);
        self.latencies.remove(worker);
    }
}
