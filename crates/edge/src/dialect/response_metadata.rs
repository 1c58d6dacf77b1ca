//! Metadata of a worker's response.

/// Metadata in the head of a worker's response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseMetadata {
    /// Whether the response carries the identifier of the request that was sent.
    pub is_for_request: bool,
    /// Whether the worker states that it did not execute the request.
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
