//! Framing of responses.

use hyper::HeaderMap;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// Returns whether a response has neither a length nor chunks, so that its body ends with the connection.
pub(super) fn ends_with_connection(headers: &HeaderMap) -> bool {
    let Some(codings) = headers.get_all(TRANSFER_ENCODING).iter().next_back() else {
        return !headers.contains_key(CONTENT_LENGTH);
    };
    let last = codings.as_bytes().rsplit(|byte| *byte == b',').next().unwrap_or_default();
    !last.trim_ascii().eq_ignore_ascii_case(b"chunked")
}
