//! Failures as callers see them.

use hyper::header;
use hyper::{Response, StatusCode};
use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_wire::failure;

use super::body;

/// A failure to report to a caller.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("{message}"))]
pub struct CallerError {
    /// HTTP status.
    pub status: StatusCode,
    /// Short code.
    pub code: String,
    /// Text for people.
    pub message: String,
    /// Whether the work may have been done.
    pub outcome: request::Outcome,
    /// When to try again.
    pub retry_after_ms: Option<u64>,
}

impl CallerError {
    /// A request that is refused before any work was done.
    pub fn not_run<Message>(status: StatusCode, code: &str, message: Message) -> Self
    where
        Message: Into<String>,
    {
        let outcome = request::Outcome::NotRun;
        Self {
            status,
            code: code.to_owned(),
            message: message.into(),
            outcome,
            retry_after_ms: None,
        }
    }

    /// A request whose work may have been done.
    pub fn unknown<Message>(status: StatusCode, code: &str, message: Message) -> Self
    where
        Message: Into<String>,
    {
        let outcome = request::Outcome::Unknown;
        Self {
            status,
            code: code.to_owned(),
            message: message.into(),
            outcome,
            retry_after_ms: None,
        }
    }

    /// Encodes the failure as an HTTP response.
    pub fn into_response(self, request_id: &name::RequestId) -> Response<body::Body> {
        let kind =
            if self.status.is_client_error() { "invalid_request_error" } else { "server_error" };
        let failure = failure::FailureBody {
            error: failure::Failure {
                message: self.message,
                kind: kind.to_owned(),
                code: self.code,
                outcome: self.outcome.as_str().to_owned(),
                request_id: request_id.to_string(),
            },
        };
        let text = serde_json::to_vec(&failure).unwrap_or_default();
        let mut builder = Response::builder()
            .status(self.status)
            .header(header::CONTENT_TYPE, "application/json")
            .header(failure::OUTCOME_HEADER, self.outcome.as_str())
            .header(failure::REQUEST_ID_HEADER, request_id.as_str());
        if let Some(retry_after_ms) = self.retry_after_ms {
            builder = builder.header(header::RETRY_AFTER, retry_after_ms.div_ceil(1_000));
        }
        builder.body(body::full(text)).unwrap_or_else(|_| Response::new(body::full("")))
    }
}
