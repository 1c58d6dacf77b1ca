//! Authentication and validation of caller requests.

use std::time::Duration;

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{self, HeaderMap};
use hyper::{Method, StatusCode};
use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_domain::table;
use jasminetack_wire::failure;
use sha2::Digest;
use tokio::time;

use super::caller_error::CallerError;
use crate::settings;

/// An authenticated request of a caller, with its class and deadline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmittedRequest {
    /// Request id.
    pub request_id: name::RequestId,
    /// Team of the caller.
    pub team: name::TeamName,
    /// Scheduling class that the caller requested.
    pub class: request::Class,
    /// Deadline of the response, on the daemon's clock.
    pub deadline_ms: u64,
}

impl AdmittedRequest {
    /// Authenticates a request and parses its priority and timeout headers.
    ///
    /// # Errors
    ///
    /// Fails when the bearer key is unknown or a header value is invalid.
    pub fn new(
        request_id: name::RequestId,
        headers: &HeaderMap,
        table: &table::Table,
        settings: &settings::Settings,
        now_ms: u64,
    ) -> Result<Self, CallerError> {
        let team = authenticate(headers, table)?;
        let class = match header_text(headers, failure::PRIORITY_HEADER)? {
            None => request::Class::Normal,
            Some(text) => request::Class::parse(text).ok_or_else(|| {
                let message = format!("priority {text:?} is not one of urgent, normal, bulk");
                CallerError::not_run(StatusCode::BAD_REQUEST, "bad_priority", message)
            })?,
        };
        let timeout_ms = match header_text(headers, failure::TIMEOUT_HEADER)? {
            None => settings.default_timeout_ms,
            Some(text) => text.parse().ok().filter(|ms| *ms > 0).ok_or_else(|| {
                let message = format!("timeout {text:?} is not a positive number of milliseconds");
                CallerError::not_run(StatusCode::BAD_REQUEST, "bad_timeout", message)
            })?,
        };
        let deadline_ms = now_ms + timeout_ms.min(settings.max_timeout_ms);
        Ok(Self { request_id, team, class, deadline_ms })
    }

    /// Returns the time until the deadline.
    #[must_use]
    pub fn remaining(&self, now_ms: u64) -> Duration {
        Duration::from_millis(self.deadline_ms.saturating_sub(now_ms))
    }
}

/// Returns the value of a header as text.
///
/// # Errors
///
/// Fails when the value contains anything but visible ASCII characters.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, CallerError> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let value = value.to_str().map_err(|_| {
        let message = format!("header {name} is not visible ASCII text");
        CallerError::not_run(StatusCode::BAD_REQUEST, "bad_header", message)
    })?;
    Ok(Some(value))
}

/// Reads a request body, subject to the size limit and the body timeout.
///
/// # Errors
///
/// Fails when the body exceeds the limit, times out or cannot be read to its end.
pub async fn read_body(
    body: Incoming,
    method: &Method,
    settings: &settings::Settings,
) -> Result<Bytes, CallerError> {
    let limit_bytes = settings.max_body_bytes;
    let too_large = || {
        let message = format!("request body exceeds the limit of {limit_bytes} bytes");
        CallerError::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
    };
    let declared_bytes = hyper::body::Body::size_hint(&body).lower();
    if usize::try_from(declared_bytes).is_ok_and(|bytes| bytes > limit_bytes) {
        return Err(too_large());
    }
    let collect = Limited::new(body, limit_bytes).collect();
    let timeout = Duration::from_millis(settings.body_timeout_ms);
    match time::timeout(timeout, collect).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(error)) => {
            let message = format!("reading the body of the {method} request failed: {error}");
            Err(CallerError::not_run(StatusCode::BAD_REQUEST, "bad_body", message))
        }
        Err(_) => {
            let message = format!("request body not received within {} ms", timeout.as_millis());
            Err(CallerError::not_run(StatusCode::REQUEST_TIMEOUT, "slow_body", message))
        }
    }
}

fn authenticate(headers: &HeaderMap, table: &table::Table) -> Result<name::TeamName, CallerError> {
    let key = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    let hash = key.map(|key| table::KeyHash::new(sha2::Sha256::digest(key.as_bytes()).into()));
    hash.and_then(|hash| table.team_by_key(&hash)).cloned().ok_or_else(|| {
        CallerError::not_run(StatusCode::UNAUTHORIZED, "bad_key", "the bearer key is not valid")
    })
}
