//! Errors that are returned to callers.

use hyper::header;
use hyper::{Response, StatusCode};
use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_wire::failure;

use super::body::Body;
use super::concurrency_limiter::CeilingReached;
use super::response_event::Refusal;

/// Retry delay that is suggested for a request above a ceiling.
const CEILING_RETRY_AFTER_MS: u64 = 1_000;

/// Error response to a caller.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("{message}"))]
pub struct CallerError {
    /// HTTP status.
    pub status: StatusCode,
    /// Machine-readable error code.
    pub code: String,
    /// Human-readable description.
    pub message: String,
    /// Whether the request may have been executed.
    pub outcome: request::Outcome,
    /// Suggested delay before a retry.
    pub retry_after_ms: Option<u64>,
}

impl From<CeilingReached> for CallerError {
    fn from(reached: CeilingReached) -> Self {
        let status = StatusCode::TOO_MANY_REQUESTS;
        let mut error = Self::not_run(status, "ceiling_reached", reached.to_string());
        error.retry_after_ms = Some(CEILING_RETRY_AFTER_MS);
        error
    }
}

impl CallerError {
    /// Creates the error of a request that was not executed.
    pub fn not_run<Message>(status: StatusCode, code: &str, message: Message) -> Self
    where
        Message: Into<String>,
    {
        Self {
            status,
            code: code.to_owned(),
            message: message.into(),
            outcome: request::Outcome::NotRun,
            retry_after_ms: None,
        }
    }

    /// Creates the error of a request that may have been executed.
    pub fn unknown<Message>(status: StatusCode, code: &str, message: Message) -> Self
    where
        Message: Into<String>,
    {
        Self { outcome: request::Outcome::Unknown, ..Self::not_run(status, code, message) }
    }

    /// Encodes the error as JSON for a response body or an SSE event.
    #[must_use]
    pub fn to_json(&self, request_id: &name::RequestId) -> String {
        let kind =
            if self.status.is_client_error() { "invalid_request_error" } else { "server_error" };
        let response = failure::ErrorResponse {
            error: failure::ErrorBody {
                message: self.message.clone(),
                kind: kind.to_owned(),
                code: self.code.clone(),
                outcome: self.outcome.as_str().to_owned(),
                request_id: request_id.to_string(),
            },
        };
        serde_json::to_string(&response).unwrap_or_default()
    }

    /// Converts the error to an HTTP response.
    #[must_use]
    pub fn into_response(self, request_id: &name::RequestId) -> Response<Body> {
        let text = self.to_json(request_id);
        let mut builder = Response::builder()
            .status(self.status)
            .header(header::CONTENT_TYPE, "application/json")
            .header(failure::OUTCOME_HEADER, self.outcome.as_str())
            .header(failure::REQUEST_ID_HEADER, request_id.as_str());
        if let Some(retry_after_ms) = self.retry_after_ms {
            builder = builder.header(header::RETRY_AFTER, retry_after_ms.div_ceil(1_000));
        }
        builder.body(Body::full(text)).unwrap_or_else(|_| Response::new(Body::full("")))
    }

    /// Encodes the error as raw HTTP/1.1 for a connection that is closed afterwards.
    #[must_use]
    pub fn into_http1(self, request_id: &name::RequestId) -> String {
        let body = self.to_json(request_id);
        let reason = self.status.canonical_reason().unwrap_or_default();
        format!(
            "HTTP/1.1 {} {reason}\r\ncontent-type: application/json\r\n{}: {}\r\n{}: {request_id}\r\n\
             content-length: {}\r\nconnection: close\r\n\r\n{body}",
            self.status.as_u16(),
            failure::OUTCOME_HEADER,
            self.outcome.as_str(),
            failure::REQUEST_ID_HEADER,
            body.len(),
        )
    }
}

impl From<Refusal> for CallerError {
    fn from(refusal: Refusal) -> Self {
        Self {
            status: StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::BAD_GATEWAY),
            code: refusal.code,
            message: refusal.message,
            outcome: refusal.outcome,
            retry_after_ms: refusal.retry_after_ms,
        }
    }
}
