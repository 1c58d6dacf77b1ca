//! Claims held by this daemon.

use crossbeam_channel::Sender;
use jasminetack_domain::claim;
use jasminetack_wire::claim as wire;

use super::claim_closer::CloseRequest;
use crate::in_flight;

/// A claim stored by this daemon; dropping it removes the claim if no byte of the call was sent.
#[derive(Debug)]
pub struct HeldClaim {
    pub(super) key: String,
    pub(super) version: u64,
    pub(super) claimed_unix_ms: u64,
    pub(super) attempt: claim::Claim,
    pub(super) close_requests: Sender<CloseRequest>,
    /// Delays the shutdown of the daemon until the claim is closed.
    pub(super) guard: Option<in_flight::Guard>,
}

impl HeldClaim {
    /// Marks the call as being sent; this is possible once.
    ///
    /// # Errors
    ///
    /// Fails if the call was already sent or the claim is too old.
    pub fn begin_send(&mut self, now_ms: u64) -> Result<(), claim::Refusal> {
        self.attempt.begin_send(now_ms)
    }

    /// Records that the connection failed before any byte of the call was sent.
    pub fn mark_unsent(&mut self) {
        self.attempt.mark_unsent();
    }

    /// Records the answer of the call in the background, with retries.
    pub fn record(mut self, answer: claim::Answer) {
        let record = self.attempt.answered_record(answer);
        self.close(Some(wire::ClaimRow::new(&record, self.claimed_unix_ms)));
    }

    fn close(&mut self, row: Option<wire::ClaimRow>) {
        let (key, guard) = (self.key.clone(), self.guard.take());
        // The receiver exists until the process exits.
        let _ = self.close_requests.send(CloseRequest {
            key,
            version: self.version,
            row,
            _guard: guard,
        });
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        if self.attempt.may_remove() {
            self.close(None);
        }
    }
}
