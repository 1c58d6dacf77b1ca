//! Refusals of requests by a worker.

use super::Job;

/// Refusal of a request, which was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Suggested delay before a retry.
    pub retry_after_ms: u64,
}

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The ownership of the worker ended.
    NotOwner,
    /// The engine does not answer probes.
    Unavailable,
    /// A request with the same id is already waiting or running.
    Duplicate,
    /// The queue is full.
    QueueFull,
    /// The queue is full and the team holds more than its share of it.
    AboveShare,
    /// The predicted wait exceeds the deadline or the longest queue wait.
    WaitExceedsDeadline,
    /// The deadline passed while the request was queued.
    DeadlinePassed,
    /// The request reached the longest queue wait.
    WaitedTooLong,
    /// A load of the adapter failed recently.
    LoadFailed,
}

impl RefusalReason {
    /// Returns the code used in answers and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotOwner => "not_owner",
            Self::Unavailable => "worker_unavailable",
            Self::Duplicate => "duplicate_request",
            Self::QueueFull => "queue_full",
            Self::AboveShare => "above_share",
            Self::WaitExceedsDeadline => "wait_exceeds_deadline",
            Self::DeadlinePassed => "deadline_passed",
            Self::WaitedTooLong => "waited_too_long",
            Self::LoadFailed => "load_failed",
        }
    }
}

/// A request that was admitted and is then refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedJob {
    /// The refused request.
    pub job: Job,
    /// Reason and retry delay.
    pub refusal: Refusal,
}
