//! Waiting on behalf of a caller.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time;

use super::answer_event::{AnswerEvent, Refusal};
use super::owned_worker::OwnedWorker;

/// Interval of `Progress` events; the entry takes one second without any for a failure.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(300);

/// Why waiting ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// The receiver of the events was dropped.
    CallerGone,
    /// The deadline of the request passed.
    DeadlinePassed,
}

/// Waits for parts of one request's work and keeps its caller informed.
#[derive(Clone, Debug)]
pub struct Attendance {
    owned: Arc<OwnedWorker>,
    events: mpsc::Sender<AnswerEvent>,
    deadline: time::Instant,
}

impl Attendance {
    /// Creates the attendance of a request with a time left.
    pub fn new(
        owned: Arc<OwnedWorker>,
        events: mpsc::Sender<AnswerEvent>,
        remaining: Duration,
    ) -> Self {
        Self { owned, events, deadline: time::Instant::now() + remaining }
    }

    /// Returns whether the deadline has passed.
    pub fn is_late(&self) -> bool {
        time::Instant::now() >= self.deadline
    }

    /// Waits for work before the answer begins; sends `Progress` meanwhile.
    ///
    /// # Errors
    ///
    /// Fails when the caller is gone or the deadline passes.
    pub async fn with_progress<Work>(&self, work: Work) -> Result<Work::Output, Interruption>
    where
        Work: Future,
    {
        let mut work = std::pin::pin!(work);
        loop {
            let tick = time::timeout(PROGRESS_INTERVAL, self.quietly(work.as_mut()));
            if let Ok(result) = tick.await {
                return result;
            }
            let outstanding = self.owned.outstanding();
            // A full buffer means that the reader has news to read already.
            let _ = self.events.try_send(AnswerEvent::Progress { outstanding });
        }
    }

    /// Waits for work while the answer is sent.
    ///
    /// # Errors
    ///
    /// Fails when the caller is gone or the deadline passes.
    pub async fn quietly<Work>(&self, work: Work) -> Result<Work::Output, Interruption>
    where
        Work: Future,
    {
        tokio::select! {
            biased;
            output = work => Ok(output),
            () = self.events.closed() => Err(Interruption::CallerGone),
            () = time::sleep_until(self.deadline) => Err(Interruption::DeadlinePassed),
        }
    }

    /// Sends an event.
    ///
    /// # Errors
    ///
    /// Fails when the caller is gone or the deadline passes.
    pub async fn send(&self, event: AnswerEvent) -> Result<(), Interruption> {
        let sent = self.quietly(self.events.send(event)).await?;
        sent.map_err(|_| Interruption::CallerGone)
    }

    /// Sends the last event of a request, if its reader is still there.
    pub async fn send_last(&self, event: AnswerEvent) {
        let _ = self.events.send(event).await;
    }
}

impl Interruption {
    /// Describes a request that was interrupted before anything was sent to the engine.
    pub fn not_run(self) -> Refusal {
        match self {
            Self::CallerGone => Refusal::not_run(499, "cancelled", "the caller hung up"),
            Self::DeadlinePassed => {
                Refusal::not_run(504, "deadline_passed", "the deadline passed in the queue")
            }
        }
    }

    /// Describes a request that was interrupted while the engine may have run it.
    pub fn unknown(self) -> Refusal {
        match self {
            Self::CallerGone => Refusal::unknown(499, "cancelled", "the caller hung up"),
            Self::DeadlinePassed => {
                Refusal::unknown(504, "deadline_passed", "the deadline passed before the end")
            }
        }
    }
}
