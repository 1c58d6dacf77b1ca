//! Whether a request is retried after an attempt without a usable response.

use hyper::StatusCode;
use hyper::http::response;
use jasminetack_domain::name;

use super::attempt::AttemptError;
use super::proxy_request::ProxyRequest;
use super::refusal::{RETRY_AFTER_MS, Refusal};
use super::request_record::RequestRecord;
use crate::clock;
use crate::dialect;

/// What to do after an attempt without a usable response.
pub(super) enum RetryDecision {
    /// Select another worker.
    Retry,
    /// Respond to the caller.
    GiveUp(Refusal),
}

impl RetryDecision {
    /// Returns the reason for giving up as the error.
    pub(super) fn into_result(self) -> Result<(), &'static str> {
        match self {
            Self::Retry => Ok(()),
            Self::GiveUp(refusal) => Err(refusal.reason),
        }
    }
}

impl<Dialect> ProxyRequest<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Decides after an attempt without a response.
    pub(super) fn attempt_failed(
        &mut self,
        worker: &name::WorkerName,
        error: AttemptError,
        record: &RequestRecord,
    ) -> RetryDecision {
        match error {
            AttemptError::NotSent(reason) => {
                self.release_charge();
                record.record_attempt_failure(worker, reason);
                self.excluded.push(worker.clone());
                RetryDecision::Retry
            }
            AttemptError::ExecutionUnknown(reason) => {
                self.has_reached_worker = true;
                self.execution_unknown(worker, reason, record)
            }
            AttemptError::TimedOut => {
                self.has_reached_worker = true;
                self.execution_unknown(worker, "no-answer-in-time", record)
            }
        }
    }

    /// Decides after an attempt that may have been executed: only idempotent requests are retried.
    pub(super) fn execution_unknown(
        &mut self,
        worker: &name::WorkerName,
        reason: &'static str,
        record: &RequestRecord,
    ) -> RetryDecision {
        record.record_attempt_failure(worker, reason);
        self.possible_executions += 1;
        self.excluded.push(worker.clone());
        if self.may_execute_again() {
            return RetryDecision::Retry;
        }
        RetryDecision::GiveUp(self.give_up(reason))
    }

    /// Decides after the worker reported that it did not execute the request.
    ///
    /// A misdirected request also makes the control thread correct its view of the worker's adapters.
    pub(super) fn not_executed(
        &mut self,
        worker: &name::WorkerName,
        facts: dialect::ResponseMetadata,
        head: &response::Parts,
        record: &RequestRecord,
    ) -> RetryDecision {
        self.release_charge();
        let result = if facts.is_misdirected { "misdirected" } else { "worker-refused" };
        record.record_attempt_failure(worker, result);
        if head.status == StatusCode::BAD_REQUEST {
            let refusal = Refusal::rejected(StatusCode::BAD_REQUEST, "refused by the worker");
            return RetryDecision::GiveUp(refusal);
        }
        if facts.is_misdirected {
            self.request_load(worker, true, clock::now_ms());
        }
        RetryDecision::Retry
    }

    /// Builds the response of a request that is given up; it says whether the request may have been
    /// executed.
    pub(super) fn give_up(&self, reason: &'static str) -> Refusal {
        if self.possible_executions == 0 {
            return Refusal::not_executed(reason, RETRY_AFTER_MS);
        }
        if clock::now_ms() >= self.deadline_ms {
            return Refusal::timed_out(reason);
        }
        Refusal::execution_unknown(reason)
    }
}
