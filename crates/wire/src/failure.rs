//! Error responses to callers and the headers of the callers' API.

use serde::{Deserialize, Serialize};

/// Response header with the outcome of a failed request.
pub const OUTCOME_HEADER: &str = "jasminetack-outcome";
/// Response header with the request id.
pub const REQUEST_ID_HEADER: &str = "jasminetack-request-id";
/// Response header with the adapter version that served the request.
pub const ADAPTER_HEADER: &str = "jasminetack-adapter";
/// Request header with the priority class.
pub const PRIORITY_HEADER: &str = "jasminetack-priority";
/// Request header with the time limit of the request in milliseconds.
pub const TIMEOUT_HEADER: &str = "jasminetack-timeout-ms";
/// Request header with the key that makes a call run at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// Description of the error.
    pub error: ErrorBody,
}

/// Error object of the OpenAI API, extended by the outcome and the request id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Human-readable message.
    pub message: String,
    /// Error type, such as `invalid_request_error`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Machine-readable error code, such as `unknown_adapter`.
    pub code: String,
    /// `not-run` when the request certainly did not run, otherwise `unknown`.
    pub outcome: String,
    /// Request id for `jasminetack-table explain`.
    pub request_id: String,
}
