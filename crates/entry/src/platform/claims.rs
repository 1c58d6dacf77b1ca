//! Claims of idempotency keys for at-most-once calls, stored in the table service.

use std::io;
use std::thread;
use std::time::Duration;

use crossbeam_channel::Sender;
use jasminetack_domain::claim;
use tokio::sync::oneshot;

use super::Store;
use super::claim_closer::ClaimCloser;
use super::claim_writer::{ClaimOutcome, ClaimWriter, InsertRequest};
use crate::in_flight;

/// Number of writer threads; more than one, so that a slow transaction does not block all others.
const WRITER_COUNT: usize = 2;
/// Maximum number of queued attempts; further ones are refused.
const MAX_QUEUED_INSERTS: usize = 1_024;

/// Claims keys for at-most-once calls; clones share the threads.
#[derive(Clone, Debug)]
pub struct Claims {
    inserts: Sender<InsertRequest>,
}

impl Claims {
    /// Starts the writer and closer threads; attempts within `group_ms` share a transaction.
    ///
    /// # Errors
    ///
    /// Fails if a thread cannot be started.
    pub fn start<Storage>(
        store: &Storage,
        group_ms: u64,
        retention_ms: u64,
        in_flight: &in_flight::InFlight,
    ) -> io::Result<Self>
    where
        Storage: Store + Clone + Send + 'static,
    {
        let group_time = Duration::from_millis(group_ms);
        let (inserts, receiver) = crossbeam_channel::bounded(MAX_QUEUED_INSERTS);
        let (close_requests, close_receiver) = crossbeam_channel::unbounded();
        for index in 0..WRITER_COUNT {
            let (close_requests, in_flight) = (close_requests.clone(), in_flight.clone());
            let writer =
                ClaimWriter { store: store.clone(), group_time, close_requests, in_flight };
            let receiver = receiver.clone();
            thread::Builder::new()
                .name(format!("claims-{index}"))
                .spawn(move || writer.run(&receiver))?;
        }
        let closer = ClaimCloser::new(store.clone(), group_time, retention_ms);
        thread::Builder::new()
            .name("claims-close".to_owned())
            .spawn(move || closer.run(&close_receiver))?;
        Ok(Self { inserts })
    }

    /// Claims a key for an attempt.
    pub async fn claim(&self, key: String, attempt: claim::Claim) -> ClaimOutcome {
        let (reply, claimed) = oneshot::channel();
        if self.inserts.try_send(InsertRequest { key, attempt, reply }).is_err() {
            return ClaimOutcome::Refused(claim::Refusal::NotClaimed);
        }
        claimed.await.unwrap_or(ClaimOutcome::Refused(claim::Refusal::NotClaimed))
    }
}
