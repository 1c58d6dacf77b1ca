//! What follows from an attempt without an answer to pass on.

use hyper::StatusCode;
use hyper::http::response;
use jasminetack_domain::name;

use super::attempt::AttemptError;
use super::proxy_request::ProxyRequest;
use super::refusal::{RETRY_AFTER_MS, Refusal};
use super::request_record::RequestRecord;
use crate::clock;
use crate::dialect;

/// What to do after an attempt that has no answer to pass on.
pub(super) enum RetryDecision {
    Retry,
    GiveUp(Refusal),
}

impl RetryDecision {
    /// Returns why there is no further attempt, as an error.
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
    pub(super) fn attempt_failed(
        &mut self,
        worker: &name::WorkerName,
        error: AttemptError,
        record: &RequestRecord,
    ) -> RetryDecision {
        match error {
            AttemptError::NotSent(reason) => {
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

    /// The request may have run: it is repeated only when that does no harm.
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

    /// The worker states that it did not run the request.
    pub(super) fn not_executed(
        &mut self,
        worker: &name::WorkerName,
        facts: dialect::AnswerFacts,
        head: &response::Parts,
        record: &RequestRecord,
    ) -> RetryDecision {
        let result = if facts.is_misdirected { "misdirected" } else { "worker-refused" };
        record.record_attempt_failure(worker, result);
        if head.status == StatusCode::BAD_REQUEST {
            let refusal = Refusal::rejected(StatusCode::BAD_REQUEST, "refused by the worker");
            return RetryDecision::GiveUp(refusal);
        }
        if facts.is_misdirected {
            self.request_load(worker, true, clock::now_ms());
        }
        self.excluded.push(worker.clone());
        RetryDecision::Retry
    }

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
