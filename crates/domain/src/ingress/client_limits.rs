//! Limits on what callers send.

/// Limits on the size and pace of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Longest request head.
    pub max_header_bytes: usize,
    /// Longest request body.
    pub max_body_bytes: usize,
    /// Longest time without a request on an open connection.
    pub idle_timeout_ms: u64,
}
