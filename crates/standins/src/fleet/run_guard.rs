//! End of a run, however it comes.

use std::sync::Arc;

use super::worker::Worker;

/// Records the end of a run when dropped.
pub(super) struct RunGuard {
    pub(super) worker: Arc<Worker>,
    pub(super) run: usize,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.worker.finish_run(self.run);
    }
}
