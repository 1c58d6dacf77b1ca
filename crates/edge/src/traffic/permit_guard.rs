//! Permit of one request for a worker with a limit.

use std::sync::Arc;

use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use jasminetack_domain::request_limit;
use parking_lot::Mutex;

/// Permit that other requests can take again unless it was used.
#[derive(Debug)]
pub(super) struct PermitGuard {
    chooser: Arc<Mutex<dispatch::Chooser>>,
    worker: name::WorkerName,
    permit: request_limit::Permit,
    is_used: bool,
}

impl PermitGuard {
    /// Takes the next permit for a worker.
    pub(super) fn take(
        chooser: &Arc<Mutex<dispatch::Chooser>>,
        worker: &name::WorkerName,
        now_ms: u64,
    ) -> Option<Self> {
        let permit = chooser.lock().limits.take(worker, now_ms)?;
        let chooser = Arc::clone(chooser);
        Some(Self { chooser, worker: worker.clone(), permit, is_used: false })
    }

    /// Returns the worker.
    pub(super) fn worker(&self) -> &name::WorkerName {
        &self.worker
    }

    /// Returns the time until the permit can be used, or `None` if it has expired.
    pub(super) fn wait_ms(&self, now_ms: u64) -> Option<u64> {
        self.chooser.lock().limits.permit_wait_ms(self.permit, now_ms)
    }

    /// Uses the permit: the request is sent.
    pub(super) fn consume(mut self) {
        self.is_used = true;
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        if !self.is_used {
            self.chooser.lock().limits.put_back(&self.worker, self.permit);
        }
    }
}
