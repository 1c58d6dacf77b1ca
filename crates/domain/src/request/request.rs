//! Progress of one caller request over its attempts.

use super::{Outcome, RetryBudget};

/// Progress of one caller request from its arrival to the first byte of its answer.
///
/// ```
/// use jasminetack_domain::request;
///
/// let mut budget = request::RetryBudget::new(0);
/// let mut request = request::Request::new(1_000);
/// let not_run = request::Outcome::NotRun;
/// assert_eq!(request.attempt_failed(not_run, 10, &mut budget), request::Next::Retry);
/// assert_eq!(request.attempt_failed(not_run, 1_000, &mut budget), request::Next::Fail);
/// assert_eq!(request.outcome(), request::Outcome::NotRun);
/// ```
#[derive(Clone, Debug)]
pub struct Request {
    deadline_ms: u64,
    outcome: Outcome,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The request may be sent elsewhere.
    Retry,
    /// The failure is reported to the caller.
    Fail,
}

impl Request {
    /// Starts a request that is of no use after its deadline.
    #[must_use]
    pub fn new(deadline_ms: u64) -> Self {
        Self { deadline_ms, outcome: Outcome::NotRun }
    }

    /// Decides after an attempt that failed before any byte of its answer reached the caller.
    ///
    /// An attempt that did not run costs the fleet little and is always repeated; one that may have
    /// run takes from the budget.
    pub fn attempt_failed(
        &mut self,
        outcome: Outcome,
        now_ms: u64,
        budget: &mut RetryBudget,
    ) -> Next {
        if outcome == Outcome::Unknown {
            self.outcome = Outcome::Unknown;
        }
        if now_ms >= self.deadline_ms {
            return Next::Fail;
        }
        if outcome == Outcome::NotRun || budget.take() {
            return Next::Retry;
        }
        Next::Fail
    }

    /// An attempt was abandoned while it may have been running.
    pub fn abandoned(&mut self) {
        self.outcome = Outcome::Unknown;
    }

    /// Returns what may be said of the request: it did not run only if no attempt may have run.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }
}
