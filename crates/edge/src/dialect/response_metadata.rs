//! Metadata of a worker's response.

/// Request that a response states to belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatedRequest {
    /// The request that was sent.
    Own,
    /// Another request.
    Other,
    /// The response names no request.
    None,
}

/// Metadata in the head of a worker's response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseMetadata {
    /// Request that the response names.
    pub stated_request: StatedRequest,
    /// Whether the response can be forwarded as the worker's response to the request that was sent.
    pub is_for_request: bool,
    /// Whether the worker states that it did not execute the request that the response belongs to.
    pub is_not_executed: bool,
    /// Whether the request reached the wrong worker, or one that has not loaded what the request
    /// needs.
    pub is_misdirected: bool,
    /// Requests per second that the worker accepts from all daemons together, if it states a limit.
    pub limit_per_s: Option<f64>,
    /// Whether the worker states that it is leaving.
    pub is_leaving: bool,
    /// Time for which the worker wants no requests from this daemon, if it states one.
    pub retry_after_ms: Option<u64>,
}
