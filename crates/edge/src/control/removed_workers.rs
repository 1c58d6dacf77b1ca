//! Workers that left the workers table a short time ago.

use indexmap::IndexMap;
use jasminetack_domain::name;
use jasminetack_domain::placement;

/// Workers whose holder rows stay in the store while orders may still be on their way or be executed
/// late: perhaps only the entry of the worker has expired, and the orders of another holder must not
/// interleave with them.
#[derive(Debug, Default)]
pub struct RemovedWorkers {
    /// Time at which each worker left.
    left_ms: IndexMap<name::WorkerName, u64>,
}

impl RemovedWorkers {
    /// Adds a worker that leaves now.
    pub fn insert(&mut self, worker: name::WorkerName, now_ms: u64) {
        self.left_ms.insert(worker, now_ms);
    }

    /// Removes a worker that was claimed again.
    pub fn remove(&mut self, worker: &name::WorkerName) {
        self.left_ms.swap_remove(worker);
    }

    /// Removes and returns the workers whose rows can be deleted.
    pub fn take_due(&mut self, now_ms: u64) -> Vec<name::WorkerName> {
        let due = self.left_ms.iter().filter(|(_, left_ms)| {
            now_ms.saturating_sub(**left_ms) >= placement::LATE_ORDER_WINDOW_MS
        });
        let due: Vec<_> = due.map(|(worker, _)| worker.clone()).collect();
        for worker in &due {
            self.left_ms.swap_remove(worker);
        }
        due
    }
}
