//! Deadline, cancellation and progress reports of one request at the owner.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time;

use super::owned_worker::OwnedWorker;
use super::response_event::{Refusal, ResponseEvent};

/// Interval of `Progress` events. Peers treat the owner as lost after 1 s without a frame.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(300);

/// Why work on a request was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// The caller disconnected: the receiver of the events was dropped.
    CallerDisconnected,
    /// The deadline of the request passed.
    DeadlinePassed,
}

/// Runs the work of one request until its caller disconnects or its deadline passes.
#[derive(Clone, Debug)]
pub struct RequestContext {
    owned: Arc<OwnedWorker>,
    events: mpsc::Sender<ResponseEvent>,
    deadline: time::Instant,
}

impl RequestContext {
    /// Creates the context of a request that must end within `remaining`.
    pub fn new(
        owned: Arc<OwnedWorker>,
        events: mpsc::Sender<ResponseEvent>,
        remaining: Duration,
    ) -> Self {
        Self { owned, events, deadline: time::Instant::now() + remaining }
    }

    /// Returns whether the deadline has passed.
    pub fn is_past_deadline(&self) -> bool {
        time::Instant::now() >= self.deadline
    }

    /// Runs work before the response begins, and sends `Progress` at intervals meanwhile.
    ///
    /// # Errors
    ///
    /// Fails when the caller disconnects or the deadline passes.
    pub async fn run_with_progress<Work>(&self, work: Work) -> Result<Work::Output, Cancellation>
    where
        Work: Future,
    {
        let mut work = std::pin::pin!(work);
        loop {
            let tick = time::timeout(PROGRESS_INTERVAL, self.run(work.as_mut()));
            if let Ok(result) = tick.await {
                return result;
            }
            let outstanding = self.owned.outstanding();
            // With a full buffer the receiver has unread events, so that a report can be skipped.
            let _ = self.events.try_send(ResponseEvent::Progress { outstanding });
        }
    }

    /// Runs work without progress reports.
    ///
    /// # Errors
    ///
    /// Fails when the caller disconnects or the deadline passes.
    pub async fn run<Work>(&self, work: Work) -> Result<Work::Output, Cancellation>
    where
        Work: Future,
    {
        tokio::select! {
            biased;
            output = work => Ok(output),
            () = self.events.closed() => Err(Cancellation::CallerDisconnected),
            () = time::sleep_until(self.deadline) => Err(Cancellation::DeadlinePassed),
        }
    }

    /// Sends an event.
    ///
    /// # Errors
    ///
    /// Fails when the caller disconnects or the deadline passes.
    pub async fn send(&self, event: ResponseEvent) -> Result<(), Cancellation> {
        let sent = self.run(self.events.send(event)).await?;
        sent.map_err(|_| Cancellation::CallerDisconnected)
    }

    /// Sends the last event of a request, also after its deadline; ignores a closed channel.
    pub async fn send_last(&self, event: ResponseEvent) {
        let _ = self.events.send(event).await;
    }
}

impl Cancellation {
    /// Returns the refusal of a request that was cancelled before it was sent to the engine.
    pub fn not_run(self) -> Refusal {
        match self {
            Self::CallerDisconnected => Refusal::not_run(499, "cancelled", "the caller hung up"),
            Self::DeadlinePassed => {
                Refusal::not_run(504, "deadline_passed", "the deadline passed in the queue")
            }
        }
    }

    /// Returns the refusal of a request that the engine may have run.
    pub fn unknown(self) -> Refusal {
        match self {
            Self::CallerDisconnected => Refusal::unknown(499, "cancelled", "the caller hung up"),
            Self::DeadlinePassed => {
                Refusal::unknown(504, "deadline_passed", "the deadline passed before the end")
            }
        }
    }
}
