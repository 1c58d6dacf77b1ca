//! Admission of caller requests.

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

/// A caller request that may be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmittedRequest {
    /// Request id.
    pub request_id: name::RequestId,
    /// Team of the caller.
    pub team: name::TeamName,
    /// Class that the caller asks for.
    pub class: request::Class,
    /// Time after which the answer is of no use.
    pub deadline_ms: u64,
}

impl AdmittedRequest {
    /// Reads what the headers say.
    ///
    /// # Errors
    ///
    /// Fails when the key is not valid or a header has no valid value.
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
                let message = format!("timeout {text:?} is not a number of milliseconds above 0");
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

/// Reads a header as text.
///
/// # Errors
///
/// Fails when the value is not visible ASCII.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, CallerError> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let value = value.to_str().map_err(|_| {
        let message = format!("header {name} is not visible ASCII text");
        CallerError::not_run(StatusCode::BAD_REQUEST, "bad_header", message)
    })?;
    Ok(Some(value))
}

/// Reads a request's body within the limits.
///
/// # Errors
///
/// Fails when the body is too long, too slow or ends early.
pub async fn read_body(
    body: Incoming,
    method: &Method,
    settings: &settings::Settings,
) -> Result<Bytes, CallerError> {
    let limit_bytes = settings.max_body_bytes;
    let too_large = || {
        let message = format!("the body is longer than {limit_bytes} bytes");
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
            let message = format!("the body of the {method} request ended early: {error}");
            Err(CallerError::not_run(StatusCode::BAD_REQUEST, "bad_body", message))
        }
        Err(_) => {
            let message = format!("the body did not arrive within {} ms", timeout.as_millis());
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
