//! Bodies of callers' requests.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use hyper::body::Incoming;
use jasminetack_domain::ingress;
use tokio::time;

use super::refusal::Refusal;

/// Reads the body of a request.
///
/// # Errors
///
/// Fails if the body is too large, arrives too slowly or is broken off.
pub(super) async fn read(
    body: Incoming,
    limits: ingress::ClientLimits,
    timeout_ms: u64,
) -> Result<Bytes, Refusal> {
    let read = Limited::new(body, limits.max_body_bytes).collect();
    let limit = Duration::from_millis(limits.idle_timeout_ms.min(timeout_ms));
    match time::timeout(limit, read).await {
        Err(_) => Err(Refusal::rejected(StatusCode::REQUEST_TIMEOUT, "slow body")),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::rejected(StatusCode::PAYLOAD_TOO_LARGE, "body too large"))
        }
        Ok(Err(_)) => Err(Refusal::rejected(StatusCode::BAD_REQUEST, "body broken off")),
        Ok(Ok(body)) => Ok(body.to_bytes()),
    }
}
