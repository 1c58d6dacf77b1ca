//! Shutdown of the control thread.

use tokio::sync::oneshot;

use super::control_state::ControlState;
use crate::dialect;

impl<Dialect> ControlState<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Stops claiming workers; orders are sent until the last request has been answered.
    pub(super) fn begin_shutdown(&mut self) {
        if std::mem::replace(&mut self.is_shutting_down, true) {
            return;
        }
        spdlog::info!("stopping holds={}", self.assignments.len());
        self.must_publish_all = true;
    }

    /// Releases the lease, so that other daemons need not wait for it to expire.
    pub(super) fn release_lease(&mut self, done: oneshot::Sender<()>, now_ms: u64) {
        self.release_waiter = Some(done);
        let release = self.lease_manager.release(now_ms);
        let is_written = release.is_some();
        if let Some(job) = release {
            self.outputs.queue_store_job(job);
        }
        let state = self.daemon_state(None, now_ms);
        let receivers = self.peers.addresses(|_| true);
        self.send_state(state, receivers);
        if !is_written {
            self.confirm_release();
        }
    }

    pub(super) fn confirm_release(&mut self) {
        if self.lease_manager.is_released()
            && let Some(done) = self.release_waiter.take()
        {
            // The receiver is gone if shutdown has timed out.
            let _ = done.send(());
        }
    }
}
