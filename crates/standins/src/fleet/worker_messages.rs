//! Parts of the messages between a worker and its callers.

use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};

use super::http_server::{self, Body};

/// Returns whether a prompt has a segment that other prompts may share.
pub(super) fn has_segment(headers: &HeaderMap, id: u64) -> bool {
    let prefix = headers.get("Prompt-Prefix").and_then(|prefix| prefix.to_str().ok());
    let shared = prefix.and_then(|prefix| prefix.rsplit_once(',')).map_or("", |(shared, _)| shared);
    let mut ids = shared.split(',').filter_map(|segment| segment.split_once(':'));
    ids.any(|(text, _)| u64::from_str_radix(text, 16) == Ok(id))
}

/// Adds the headers by which a response is recognized as the worker's answer to a request.
pub(super) fn with_identity_headers(
    mut response: Response<Body>,
    attempt_id: &str,
) -> Response<Body> {
    let headers = response.headers_mut();
    headers.insert("Attempt-Id", attempt_id.parse().expect("an identifier is visible ASCII"));
    headers.insert("Server-Signature", "s1.g2".parse().expect("a constant"));
    response
}

/// Creates a response to a request that the worker does not execute.
pub(super) fn not_executed_response(status: StatusCode, attempt_id: &str) -> Response<Body> {
    let mut response = http_server::response(status, "");
    let headers = response.headers_mut();
    headers.insert("Attempt-Id", attempt_id.parse().expect("an identifier is visible ASCII"));
    headers.insert("Not-Executed", "1".parse().expect("a constant"));
    response
}

/// Returns the head of a request with one header a line and header names in lower case.
pub(super) fn head_text(request: &Request<Incoming>) -> String {
    let mut text = format!("{} {}\n", request.method(), request.uri());
    for (name, value) in request.headers() {
        text.push_str(&format!("{name}: {}\n", String::from_utf8_lossy(value.as_bytes())));
    }
    text
}
