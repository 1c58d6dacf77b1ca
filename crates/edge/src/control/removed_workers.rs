//! Workers that left the workers table a short time ago.

use indexmap::IndexMap;
use jasminetack_domain::name;
use jasminetack_domain::placement;

/// Worker that left the table.
#[derive(Clone, Copy, Debug)]
struct RemovedWorker {
    fencing_token: u64,
    left_ms: u64,
}

/// Workers whose holder rows stay in the store while orders may still be on their way or be executed
/// late: perhaps only the entry of the worker has expired, and the orders of another holder must not
/// interleave with them.
#[derive(Debug, Default)]
pub struct RemovedWorkers {
    workers: IndexMap<name::WorkerName, RemovedWorker>,
}

impl RemovedWorkers {
    /// Adds a worker that leaves now.
    pub fn insert(&mut self, worker: name::WorkerName, fencing_token: u64, now_ms: u64) {
        self.workers.insert(worker, RemovedWorker { fencing_token, left_ms: now_ms });
    }

    /// Removes a worker that was claimed again.
    pub fn remove(&mut self, worker: &name::WorkerName) {
        self.workers.swap_remove(worker);
    }

    /// Removes and returns the workers whose rows can be deleted, with their fencing tokens.
    pub fn take_due(&mut self, now_ms: u64) -> Vec<(name::WorkerName, u64)> {
        let due = self.workers.iter().filter(|(_, removed)| {
            now_ms.saturating_sub(removed.left_ms) >= placement::LATE_ORDER_WINDOW_MS
        });
        let due: Vec<_> =
            due.map(|(worker, removed)| (worker.clone(), removed.fencing_token)).collect();
        for (worker, _) in &due {
            self.workers.swap_remove(worker);
        }
        due
    }
}
