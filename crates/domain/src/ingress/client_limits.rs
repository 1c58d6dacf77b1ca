//! Limits on caller connections and requests.

/// Size limits and idle timeout of caller connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head.
    pub max_header_bytes: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Time after which a connection without a request is closed.
    pub idle_timeout_ms: u64,
}
