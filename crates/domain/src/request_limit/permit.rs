//! Permission to send one request to a worker with a limit.

/// Permission to send one request to a worker with a limit, from its start until it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Start of the permit on the store's clock.
    pub start_store_ms: u64,
}
