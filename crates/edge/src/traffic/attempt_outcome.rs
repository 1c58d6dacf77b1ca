//! What follows from an attempt without an answer to pass on.

use hyper::StatusCode;
use hyper::http::response;
use jasminetack_domain::name;

use super::attempt::AttemptError;
use super::call::Call;
use super::call_record::CallRecord;
use super::refusal::{RETRY_AFTER_MS, Refusal};
use crate::clock;
use crate::dialect;

/// What to do after an attempt that has no answer to pass on.
pub(super) enum Next {
    TryAgain,
    GiveUp(Refusal),
}

impl Next {
    /// Returns why there is no further attempt, as an error.
    pub(super) fn reason(self) -> Result<(), &'static str> {
        match self {
            Self::TryAgain => Ok(()),
            Self::GiveUp(refusal) => Err(refusal.reason),
        }
    }
}

impl<Dialect> Call<Dialect>
where
    Dialect: dialect::Dialect,
{
    pub(super) fn attempt_failed(
        &mut self,
        worker: &name::WorkerName,
        error: AttemptError,
        record: &CallRecord,
    ) -> Next {
        match error {
            AttemptError::NotSent(reason) => {
                record.attempt_failed(worker, reason);
                self.excluded.push(worker.clone());
                Next::TryAgain
            }
            AttemptError::Unknown(reason) => {
                self.has_arrived = true;
                self.unknown(worker, reason, record)
            }
            AttemptError::TimedOut => {
                self.has_arrived = true;
                self.unknown(worker, "no-answer-in-time", record)
            }
        }
    }

    /// The request may have run: it is repeated only when that does no harm.
    pub(super) fn unknown(
        &mut self,
        worker: &name::WorkerName,
        reason: &'static str,
        record: &CallRecord,
    ) -> Next {
        record.attempt_failed(worker, reason);
        self.possible_runs += 1;
        self.excluded.push(worker.clone());
        if self.may_run_again() {
            return Next::TryAgain;
        }
        Next::GiveUp(self.give_up(reason))
    }

    /// The worker states that it did not run the request.
    pub(super) fn not_run(
        &mut self,
        worker: &name::WorkerName,
        facts: dialect::ResponseMetadata,
        head: &response::Parts,
        record: &CallRecord,
    ) -> Next {
        let result = if facts.is_misdirected { "misdirected" } else { "worker-refused" };
        record.attempt_failed(worker, result);
        if head.status == StatusCode::BAD_REQUEST {
            let refusal = Refusal::rejected(StatusCode::BAD_REQUEST, "refused by the worker");
            return Next::GiveUp(refusal);
        }
        if facts.is_misdirected {
            self.demand(worker, true, clock::now_ms());
        }
        self.excluded.push(worker.clone());
        Next::TryAgain
    }

    pub(super) fn give_up(&self, reason: &'static str) -> Refusal {
        if self.possible_runs == 0 {
            return Refusal::not_run(reason, RETRY_AFTER_MS);
        }
        if clock::now_ms() >= self.deadline_ms {
            return Refusal::timed_out(reason);
        }
        Refusal::unknown(reason)
    }
}
