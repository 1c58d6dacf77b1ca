//! Facts of a worker's answer.

/// What the head of a worker's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Whether the answer names the request that was sent.
    pub is_for_request: bool,
    /// Whether the worker states that it did not run the request.
    pub is_not_executed: bool,
    /// Whether the request reached another worker than the one that was meant, or the worker does
    /// not hold what the request needs.
    pub is_misdirected: bool,
}
