//! Events of a model request at the owner of its worker.

use bytes::Bytes;
use jasminetack_domain::request;

/// Event that the owner reports about a request.
///
/// The order is: any number of `Progress`; then `Refused`, or `Head`, any number of `Chunk`, and
/// `End` or `Refused`. If the channel closes without `End` or `Refused`, the outcome is unknown.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseEvent {
    /// The request is queued.
    Progress {
        /// Number of requests that are queued or running at the worker.
        outstanding: u32,
    },
    /// The engine responds with the requested instance.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Number of requests that are queued or running at the worker.
        outstanding: u32,
    },
    /// Part of the response body.
    Chunk(Bytes),
    /// The response is complete.
    End,
    /// The request failed.
    Refused(Refusal),
}

/// Failure of a request at the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// `NotRun` only when the owner guarantees that the request did not run.
    pub outcome: request::Outcome,
    /// Machine-readable error code.
    pub code: String,
    /// Human-readable description.
    pub message: String,
    /// HTTP status for the caller.
    pub status: u16,
    /// Suggested delay before a retry.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates the refusal of a request that was certainly not executed.
    pub fn not_run<Message>(status: u16, code: &str, message: Message) -> Self
    where
        Message: Into<String>,
    {
        let outcome = request::Outcome::NotRun;
        Self {
            outcome,
            code: code.to_owned(),
            message: message.into(),
            status,
            retry_after_ms: None,
        }
    }

    /// Creates the refusal of a request that may have been executed.
    pub fn unknown<Message>(status: u16, code: &str, message: Message) -> Self
    where
        Message: Into<String>,
    {
        let outcome = request::Outcome::Unknown;
        Self {
            outcome,
            code: code.to_owned(),
            message: message.into(),
            status,
            retry_after_ms: None,
        }
    }
}
