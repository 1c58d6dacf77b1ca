//! Refusals of calls with an idempotency key.

use crate::request;

/// Reason for which a call with an idempotency key is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, snafu::Snafu)]
pub enum Refusal {
    /// The key was used for a call with different content.
    #[snafu(display("the idempotency key was used for a call with other content"))]
    ContentMismatch,
    /// A call with the key was started and has no recorded answer.
    #[snafu(display("a call with this idempotency key was started and its result is not known"))]
    Open,
    /// The claim could not be stored.
    #[snafu(display("the idempotency key could not be claimed; the call was not sent"))]
    NotClaimed,
    /// The claim is so old that its retention may end before the call does.
    #[snafu(display("the claim was written too long ago; the call was not sent"))]
    ClaimExpired,
}

impl Refusal {
    /// Returns the outcome to report: whether the requested call may have run.
    #[must_use]
    pub fn outcome(self) -> request::Outcome {
        match self {
            Self::Open => request::Outcome::Unknown,
            Self::ContentMismatch | Self::NotClaimed | Self::ClaimExpired => {
                request::Outcome::NotRun
            }
        }
    }
}
