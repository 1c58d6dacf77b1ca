//! Refusals at a worker.

use super::Job;

/// Why and until when a request is refused; it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to try again.
    pub retry_after_ms: u64,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The ownership of the worker ended.
    NotOwner,
    /// The engine does not answer probes.
    Unavailable,
    /// A request with the same id waits or runs.
    Duplicate,
    /// The queue is full.
    QueueFull,
    /// The queue is full and the team holds more than its share of it.
    AboveShare,
    /// The request would still wait at its deadline.
    WaitExceedsDeadline,
    /// The deadline passed in the queue.
    DeadlinePassed,
    /// The request waited for the longest time allowed.
    WaitedTooLong,
    /// The adapter could not be loaded.
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

/// A request that was in the queue and is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedJob {
    /// The request.
    pub job: Job,
    /// Why.
    pub refusal: Refusal,
}
