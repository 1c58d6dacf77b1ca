//! Workers that left the workers table while they might still execute unanswered orders.

use indexmap::IndexMap;
use jasminetack_domain::name;

/// Worker that left the table.
#[derive(Clone, Copy, Debug)]
struct RemovedWorker {
    fencing_token: u64,
    late_until_ms: u64,
}

/// Workers whose holder rows stay in the store until no unanswered order can be executed.
#[derive(Debug, Default)]
pub struct RemovedWorkers {
    workers: IndexMap<name::WorkerName, RemovedWorker>,
}

impl RemovedWorkers {
    /// Adds a worker that left; `late_until_ms` is the time until which it may execute orders.
    pub fn insert(&mut self, worker: name::WorkerName, fencing_token: u64, late_until_ms: u64) {
        self.workers.insert(worker, RemovedWorker { fencing_token, late_until_ms });
    }

    /// Removes a worker that rejoined; returns the time until which it may execute old orders.
    pub fn take(&mut self, worker: &name::WorkerName) -> Option<u64> {
        self.workers.swap_remove(worker).map(|removed| removed.late_until_ms)
    }

    /// Removes and returns the workers whose rows can be deleted, with their fencing tokens.
    pub fn take_due(&mut self, now_ms: u64) -> Vec<(name::WorkerName, u64)> {
        let due = self.workers.iter().filter(|(_, removed)| removed.late_until_ms <= now_ms);
        let due: Vec<_> =
            due.map(|(worker, removed)| (worker.clone(), removed.fencing_token)).collect();
        for (worker, _) in &due {
            self.workers.swap_remove(worker);
        }
        due
    }
}
