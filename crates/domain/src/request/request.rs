//! Retry state of one caller request.

use super::{Outcome, RetryBudget};

/// Retry state of one caller request, from its arrival to the first byte of its response.
///
/// ```
/// use jasminetack_domain::request;
///
/// let mut budget = request::RetryBudget::new(0);
/// let mut request = request::Request::new(1_000);
/// let not_run = request::Outcome::NotRun;
/// assert_eq!(request.attempt_failed(not_run, 10, &mut budget), request::RetryDecision::Retry);
/// assert_eq!(request.attempt_failed(not_run, 1_000, &mut budget), request::RetryDecision::Fail);
/// assert_eq!(request.outcome(), request::Outcome::NotRun);
/// ```
#[derive(Clone, Debug)]
pub struct Request {
    deadline_ms: u64,
    outcome: Outcome,
}

/// Action after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request may be sent to another upstream.
    Retry,
    /// The failure must be reported to the caller.
    Fail,
}

impl Request {
    /// Creates the state of a request that is not retried once its deadline has passed.
    #[must_use]
    pub fn new(deadline_ms: u64) -> Self {
        Self { deadline_ms, outcome: Outcome::NotRun }
    }

    /// Records an attempt that failed before any byte of its response reached the caller.
    ///
    /// An attempt that was not executed cost the upstreams little and is retried without a budget;
    /// the retry of one that may have been executed is charged to the budget.
    pub fn attempt_failed(
        &mut self,
        outcome: Outcome,
        now_ms: u64,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        if outcome == Outcome::Unknown {
            self.outcome = Outcome::Unknown;
        }
        if now_ms >= self.deadline_ms {
            return RetryDecision::Fail;
        }
        if outcome == Outcome::NotRun || budget.try_withdraw() {
            return RetryDecision::Retry;
        }
        RetryDecision::Fail
    }

    /// Records that an attempt was abandoned while it may have been executing.
    pub fn attempt_abandoned(&mut self) {
        self.outcome = Outcome::Unknown;
    }

    /// Returns the outcome of the request: `NotRun` only if no attempt may have been executed.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }
}
