//! Refusals of calls with a key.

use crate::request;

/// Why a call with a key is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, snafu::Snafu)]
pub enum Refusal {
    /// The key belongs to another call.
    #[snafu(display("the idempotency key was used for a call with other content"))]
    OtherContent,
    /// A call with the key may be running.
    #[snafu(display("a call with this idempotency key was started and its result is not known"))]
    Open,
    /// The claim could not be written.
    #[snafu(display("the idempotency key could not be claimed; the call was not sent"))]
    NotClaimed,
    /// The claim is so old that it may be removed before the call ends.
    #[snafu(display("the claim was written too long ago; the call was not sent"))]
    TooLate,
}

impl Refusal {
    /// Tells whether the call that the caller asked for may have run.
    #[must_use]
    pub fn outcome(self) -> request::Outcome {
        match self {
            Self::Open => request::Outcome::Unknown,
            Self::OtherContent | Self::NotClaimed | Self::TooLate => request::Outcome::NotRun,
        }
    }
}
