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
/// Maximum length of an idempotency key, which becomes part of a key of the table service.
const MAX_KEY_BYTES: usize = 255;
/// Headers that are not forwarded: they concern one connection or are set by the daemon.
const UNFORWARDED_HEADERS: [HeaderName; 10] = [
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
    /// Authenticated caller, deadline and class of the request.
    pub admitted: AdmittedRequest,
    /// Name of the service.
    pub service: name::ServiceName,
    /// Limits of the service's row.
    pub limits: table::Limits,
    /// Idempotency key of a call that is executed at most once; `None` for a repeatable call.
    pub idempotency_key: Option<String>,
    /// HTTP method.
    pub method: Method,
    /// Path and query on the service.
    pub path: String,
    /// Headers that are forwarded to the service.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

impl ServiceCall {
    /// Creates a call from a caller's request.
    ///
    /// # Errors
    ///
    /// Fails when the path is invalid, the service is unknown, or a call that is not repeatable
    /// has no valid idempotency key.
    pub fn new(
        table: &table::Table,
        admitted: AdmittedRequest,
        head: Parts,
        body: Bytes,
    ) -> Result<Self, CallerError> {
        let (service, path) = parse_path(head.uri.path())?;
        let row = table.service(&service).ok_or_else(|| {
            let message = format!("unknown service {service}");
            CallerError::not_run(StatusCode::NOT_FOUND, "unknown_service", message)
        })?;
        let idempotency_key = if row.is_repeatable(head.method.as_str(), &path) {
            None
        } else {
            Some(parse_idempotency_key(&head.headers)?)
        };
        let path = match head.uri.query() {
            Some(query) => format!("{path}?{query}"),
            None => path,
        };
        let limits = row.limits.clone();
        let headers = forwarded_headers(&head.headers, &admitted);
        let method = head.method;
        Ok(Self { admitted, service, limits, idempotency_key, method, path, headers, body })
    }

    /// Returns a digest of method, path and body. It detects a different call with the same key.
    #[must_use]
    pub fn content_digest(&self) -> claim::ContentDigest {
        let mut digest = sha2::Sha256::new();
        for part in [self.method.as_str().as_bytes(), self.path.as_bytes(), &self.body] {
            // Length prefixes make the concatenation of the parts unambiguous.
            digest.update(part.len().to_be_bytes());
            digest.update(part);
        }
        claim::ContentDigest::new(digest.finalize().into())
    }
}

/// Removes the headers that are not forwarded.
pub fn remove_unforwarded_headers(headers: &mut HeaderMap) {
    for name in UNFORWARDED_HEADERS {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

fn parse_path(path: &str) -> Result<(name::ServiceName, String), CallerError> {
    let rest = path.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    // A service may normalize `.` and `..` segments, encoded ones too, to a path that the table
    // does not list as repeatable.
    let lower = path.to_ascii_lowercase().replace("%2e", ".").replace("%2f", "/");
    if lower.split(['/', '\\']).any(|segment| matches!(segment, "." | "..")) {
        let message = "the path contains `.` or `..` segments";
        return Err(CallerError::not_run(StatusCode::BAD_REQUEST, "bad_path", message));
    }
    Ok((name::ServiceName::from(service), format!("/{path}")))
}

fn parse_idempotency_key(headers: &HeaderMap) -> Result<String, CallerError> {
    let invalid =
        |message| CallerError::not_run(StatusCode::BAD_REQUEST, "idempotency_key", message);
    let key = admission::header_text(headers, failure::IDEMPOTENCY_KEY_HEADER)?;
    let key = key.ok_or_else(|| {
        invalid("this call is not repeatable and requires an Idempotency-Key header")
    })?;
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(invalid("the Idempotency-Key must have 1 to 255 characters"));
    }
    Ok(key.to_owned())
}

fn forwarded_headers(headers: &HeaderMap, admitted: &AdmittedRequest) -> HeaderMap {
    let mut forwarded = headers.clone();
    remove_unforwarded_headers(&mut forwarded);
    forwarded.remove(failure::PRIORITY_HEADER);
    forwarded.remove(failure::TIMEOUT_HEADER);
    if let Ok(value) = HeaderValue::from_str(admitted.request_id.as_str()) {
        forwarded.insert(failure::REQUEST_ID_HEADER, value);
    }
    forwarded
}
