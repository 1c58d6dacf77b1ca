//! Error responses of the daemon itself.

use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

use super::response_body::ResponseBody;

/// `Retry-After` of a refusal.
pub(super) const RETRY_AFTER_MS: u64 = 250;

/// Error response of the daemon to a request without a worker's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Status of the response.
    pub status: StatusCode,
    /// Outcome of the request; also the body of the response.
    pub reason: &'static str,
    /// Delay after which the caller may retry.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// The request is invalid; a retry would fail as well.
    pub fn rejected(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after_ms: None }
    }

    /// The request was not executed and will not be; the caller may retry it.
    pub fn not_executed(reason: &'static str, retry_after_ms: u64) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, reason, retry_after_ms: Some(retry_after_ms) }
    }

    /// The request may have been executed, and there is no response.
    pub fn execution_unknown(reason: &'static str) -> Self {
        Self { status: StatusCode::BAD_GATEWAY, reason, retry_after_ms: None }
    }

    /// The request may have been executed, and its deadline has passed.
    pub fn timed_out(reason: &'static str) -> Self {
        Self { status: StatusCode::GATEWAY_TIMEOUT, reason, retry_after_ms: None }
    }

    /// Builds the response.
    pub fn into_response(self) -> Response<ResponseBody> {
        let body = Bytes::from(format!("{}\n", self.reason));
        let mut response = Response::new(ResponseBody::full(body));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if self.status == StatusCode::UNAUTHORIZED {
            headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if let Some(retry_after_ms) = self.retry_after_ms {
            let seconds = format!("{:.3}", retry_after_ms as f64 / 1_000.0);
            if let Ok(seconds) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, seconds);
            }
        }
        response
    }
}
