//! One call to an app service.

use bytes::Bytes;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use jasminetack_domain::claim;
use jasminetack_domain::name;
use jasminetack_domain::table;
use jasminetack_wire::failure;
use sha2::Digest;

use super::admission::{self, AdmittedRequest};
use super::caller_error::CallerError;

/// Path prefix of calls to app services.
pub const SERVICES_PREFIX: &str = "/services/";
/// Longest idempotency key; it becomes part of a key of the table service.
const MAX_KEY_BYTES: usize = 255;
/// Headers that concern one connection or that the daemon sets itself.
const OWN_HEADERS: [HeaderName; 10] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHORIZATION,
    header::HOST,
    header::AUTHORIZATION,
    header::CONTENT_LENGTH,
    header::EXPECT,
];

/// One call to an app service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The caller's request.
    pub admitted: AdmittedRequest,
    /// The service.
    pub service: name::ServiceName,
    /// Limits of the service's row.
    pub limits: table::Limits,
    /// Key of a call that runs at most once; `None` for a call that may be repeated.
    pub key: Option<String>,
    /// Method.
    pub method: Method,
    /// Path and query on the service.
    pub path: String,
    /// Headers for the service.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl ServiceCall {
    /// Reads a call.
    ///
    /// # Errors
    ///
    /// Fails when there is no such service, or when the call may not be repeated and has no key.
    pub fn new(
        table: &table::Table,
        admitted: AdmittedRequest,
        head: Parts,
        body: Bytes,
    ) -> Result<Self, CallerError> {
        let (service, path) = split_path(head.uri.path())?;
        let row = table.service(&service).ok_or_else(|| {
            let message = format!("unknown service {service}");
            CallerError::not_run(StatusCode::NOT_FOUND, "unknown_service", message)
        })?;
        let key = if row.is_repeatable(head.method.as_str(), &path) {
            None
        } else {
            Some(read_key(&head.headers)?)
        };
        let path = match head.uri.query() {
            Some(query) => format!("{path}?{query}"),
            None => path,
        };
        let limits = row.limits.clone();
        let headers = forwarded_headers(&head.headers, &admitted);
        let method = head.method;
        Ok(Self { admitted, service, limits, key, method, path, headers, body })
    }

    /// Returns the digest by which another call with the same key is recognized.
    #[must_use]
    pub fn digest(&self) -> claim::ContentDigest {
        let mut digest = sha2::Sha256::new();
        for part in [self.method.as_str().as_bytes(), self.path.as_bytes(), &self.body] {
            // The length keeps parts from running into each other.
            digest.update(part.len().to_be_bytes());
            digest.update(part);
        }
        claim::ContentDigest::new(digest.finalize().into())
    }
}

/// Removes the headers that concern one connection.
pub fn remove_own_headers(headers: &mut HeaderMap) {
    for name in OWN_HEADERS {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

fn split_path(path: &str) -> Result<(name::ServiceName, String), CallerError> {
    let rest = path.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    // A service may resolve such segments to a path that the table does not list as repeatable.
    let lower = path.to_ascii_lowercase().replace("%2e", ".").replace("%2f", "/");
    if lower.split(['/', '\\']).any(|segment| matches!(segment, "." | "..")) {
        let message = "the path contains `.` or `..` segments";
        return Err(CallerError::not_run(StatusCode::BAD_REQUEST, "bad_path", message));
    }
    Ok((name::ServiceName::from(service), format!("/{path}")))
}

fn read_key(headers: &HeaderMap) -> Result<String, CallerError> {
    let bad = |message| CallerError::not_run(StatusCode::BAD_REQUEST, "idempotency_key", message);
    let key = admission::header_text(headers, failure::IDEMPOTENCY_KEY_HEADER)?;
    let key = key.ok_or_else(|| bad("this call may not be repeated: send an Idempotency-Key"))?;
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(bad("the Idempotency-Key must have 1 to 255 characters"));
    }
    Ok(key.to_owned())
}

fn forwarded_headers(headers: &HeaderMap, admitted: &AdmittedRequest) -> HeaderMap {
    let mut forwarded = headers.clone();
    remove_own_headers(&mut forwarded);
    forwarded.remove(failure::PRIORITY_HEADER);
    forwarded.remove(failure::TIMEOUT_HEADER);
    if let Ok(value) = HeaderValue::from_str(admitted.request_id.as_str()) {
        forwarded.insert(failure::REQUEST_ID_HEADER, value);
    }
    forwarded
}
