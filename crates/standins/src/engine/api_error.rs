//! Errors of the HTTP API.

/// Error response to an order or request that the engine rejected without acting on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiError {
    /// HTTP status.
    pub status: u16,
    /// Machine-readable code.
    pub code: &'static str,
    /// Human-readable message.
    pub message: String,
}

impl ApiError {
    /// Creates an error.
    #[must_use]
    pub fn new(status: u16, code: &'static str, message: String) -> Self {
        Self { status, code, message }
    }
}
