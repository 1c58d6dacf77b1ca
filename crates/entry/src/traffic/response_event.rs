//! Progress of a model request at the owner of its worker.

use bytes::Bytes;
use jasminetack_domain::request;

/// What the owner reports about a request, in this order: any number of `Progress`, then either
/// `Refused`, or `Head`, any number of `Chunk`, and `End` or `Refused`.
///
/// A channel that closes without `End` or `Refused` means that the outcome is unknown.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseEvent {
    /// The request is queued.
    Progress {
        /// Requests that wait or run at the worker.
        outstanding: u32,
    },
    /// The engine answers with the instance that was asked for.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Requests that wait or run at the worker.
        outstanding: u32,
    },
    /// Part of the answer.
    Chunk(Bytes),
    /// The answer is complete.
    End,
    /// The request failed.
    Refused(Refusal),
}

/// Failure of a request at the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// `NotRun` only when the owner guarantees it.
    pub outcome: request::Outcome,
    /// Short code.
    pub code: String,
    /// Text for people.
    pub message: String,
    /// HTTP status to report.
    pub status: u16,
    /// When to try again.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A failure before the engine could have acted.
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

    /// A failure after a byte may have reached the engine.
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
