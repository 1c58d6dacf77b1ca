//! Workers that left the table while orders to them could still be carried out.

use indexmap::IndexMap;
use jasminetack_domain::name;

/// A worker that left the table.
#[derive(Clone, Copy, Debug)]
struct RemovedWorker {
    fencing_token: u64,
    late_until_ms: u64,
}

/// Workers whose rows stay in the store until no late order is possible any more.
#[derive(Debug, Default)]
pub struct RemovedWorkers {
    workers: IndexMap<name::WorkerName, RemovedWorker>,
}

impl RemovedWorkers {
    /// Notes a worker that left; `late_until_ms` is when its last order may be carried out.
    pub fn insert(&mut self, worker: name::WorkerName, fencing_token: u64, late_until_ms: u64) {
        self.workers.insert(worker, RemovedWorker { fencing_token, late_until_ms });
    }

    /// Takes a worker that came back; returns the time until which old orders may be carried out.
    pub fn take(&mut self, worker: &name::WorkerName) -> Option<u64> {
        self.workers.swap_remove(worker).map(|removed| removed.late_until_ms)
    }

    /// Takes the workers whose rows can be removed, with their fencing tokens.
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
