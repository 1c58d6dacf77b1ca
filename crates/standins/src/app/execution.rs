//! Record of an executed call.

use serde::{Deserialize, Serialize};

/// Record of an executed call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Sequence number, starting at 1.
    pub number: usize,
    /// HTTP method of the call.
    pub method: String,
    /// Path and query of the call.
    pub path: String,
    /// `Idempotency-Key` of the call.
    pub idempotency_key: Option<String>,
    /// `Jasminetack-Request-Id` of the call.
    pub request_id: Option<String>,
    /// Body of the call.
    pub body: String,
    /// Whether a response was sent.
    pub answered: bool,
}
