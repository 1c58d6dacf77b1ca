//! Record of an executed call.

use serde::{Deserialize, Serialize};

/// Record of an executed call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Counts executions from 1.
    pub number: usize,
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// `Idempotency-Key` of the call.
    pub idempotency_key: Option<String>,
    /// `Jasminetack-Request-Id` of the call.
    pub request_id: Option<String>,
    /// Body of the call.
    pub body: String,
    /// Whether an answer was sent.
    pub answered: bool,
}
