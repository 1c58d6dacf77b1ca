//! Whether a request is admitted at the predicted load or refused with a time to return.

use super::Estimate;

/// Share of the target for the first part that a worker's queue may take.
///
/// Load beyond the capacity then ends as quick refusals instead of a standing queue in which every
/// answer is late; the rest of the target covers requests that other daemons have sent meanwhile.
const MAX_QUEUE_SHARE: f64 = 0.7;
/// Multiple of the target up to which a request may wait for its adapter and the worker's queue. The
/// wait for an adapter is no queue: adapters with many requests are loaded first.
const MAX_TARGET_FACTOR: f64 = 1.5;
/// Shortest time after which a refused caller may return.
const MIN_RETRY_AFTER_MS: f64 = 250.0;
/// Share of the remaining time that a caller may be told to stay away; it ignores longer times.
const MAX_RETRY_AFTER_SHARE: f64 = 0.25;
/// Range of the factor that spreads the returns of callers that are refused at the same time.
const SPREAD: f64 = 0.5;

/// Time limits of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLimits {
    /// Time at which the answer should begin.
    pub target_ms: u64,
    /// Time at which the caller gives up.
    pub deadline_ms: u64,
    /// Time at which the request was received.
    pub received_ms: u64,
}

impl TimeLimits {
    /// Returns how long a request may wait in the queue of a worker to be admitted.
    #[must_use]
    pub fn max_queue_ms(&self) -> f64 {
        self.target_ms.saturating_sub(self.received_ms) as f64 * MAX_QUEUE_SHARE
    }

    fn left_ms(&self, now_ms: u64) -> f64 {
        self.deadline_ms.saturating_sub(now_ms) as f64
    }

    /// Returns by how much a request would wait too long to be admitted.
    ///
    /// The time to read its own prompt is left out, or long prompts would always be refused.
    fn excess_ms(&self, estimate: Estimate) -> f64 {
        let target_ms = self.target_ms.saturating_sub(self.received_ms) as f64;
        let queue_excess_ms = estimate.queue_ms - self.max_queue_ms();
        let total_excess_ms = estimate.wait_ms() - target_ms * MAX_TARGET_FACTOR;
        queue_excess_ms.max(total_excess_ms)
    }
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request can be served.
    Admitted,
    /// The request cannot be served usefully now.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Time after which the caller may return.
        retry_after_ms: u64,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The answer would not be complete before the deadline.
    DeadlineUnreachable,
    /// The answer would begin so late that others are served instead.
    Overloaded,
}

impl RefusalReason {
    /// Returns the reason as it is logged.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::DeadlineUnreachable => "deadline out of reach",
            Self::Overloaded => "overloaded",
        }
    }
}

/// Decides whether to admit a request, or to keep an admitted one that still waits, with the estimate
/// of the best worker.
///
/// `random` is uniformly distributed in 0..1.
#[must_use]
pub fn decide(
    limits: TimeLimits,
    estimate: Estimate,
    is_admitted: bool,
    random: f64,
    now_ms: u64,
) -> Admission {
    // The wait for the adapter is predicted for a new request; one that waits already is ahead of it.
    let wait_ms = if is_admitted { estimate.queue_ms } else { estimate.wait_ms() };
    let until_end_ms = wait_ms + estimate.service_ms();
    let deadline_excess_ms = until_end_ms - limits.left_ms(now_ms);
    let target_excess_ms = limits.excess_ms(estimate);
    let (reason, excess_ms) = if deadline_excess_ms > 0.0 {
        (RefusalReason::DeadlineUnreachable, deadline_excess_ms)
    } else if target_excess_ms > 0.0 && !is_admitted {
        (RefusalReason::Overloaded, target_excess_ms)
    } else {
        return Admission::Admitted;
    };
    let retry_after_ms = retry_after_ms(limits, excess_ms, random, now_ms);
    Admission::Refused { reason, retry_after_ms }
}

/// Returns when a refused caller may return: once the load that is in its way has been worked off, but
/// early enough to be served, and not at the same time as all others.
#[must_use]
pub fn retry_after_ms(limits: TimeLimits, excess_ms: f64, random: f64, now_ms: u64) -> u64 {
    let spread = 1.0 + SPREAD * (2.0 * random - 1.0);
    let longest_ms = (limits.left_ms(now_ms) * MAX_RETRY_AFTER_SHARE).max(MIN_RETRY_AFTER_MS);
    (excess_ms * spread).clamp(MIN_RETRY_AFTER_MS, longest_ms) as u64
}
