//! JSON body of failures as callers see them.

use serde::{Deserialize, Serialize};

/// Header that carries the outcome of a failed request.
pub const OUTCOME_HEADER: &str = "jasminetack-outcome";
/// Header that carries the request id.
pub const REQUEST_ID_HEADER: &str = "jasminetack-request-id";
/// Header that names the adapter version that produced an answer.
pub const ADAPTER_HEADER: &str = "jasminetack-adapter";
/// Header that asks for a class.
pub const PRIORITY_HEADER: &str = "jasminetack-priority";
/// Header that asks for a deadline.
pub const TIMEOUT_HEADER: &str = "jasminetack-timeout-ms";
/// Header that names a call that may run at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Body of a failed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureBody {
    /// The failure.
    pub error: Failure,
}

/// What failed, in the shape that OpenAI clients expect, with the outcome added.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Text for people.
    pub message: String,
    /// Category, such as `invalid_request_error`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short code, such as `unknown_adapter`.
    pub code: String,
    /// `not-run` or `unknown`.
    pub outcome: String,
    /// Request id for `jasminetack-table explain`.
    pub request_id: String,
}
