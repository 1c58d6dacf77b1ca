//! Injected faults of the store.

/// Injected faults of the store; all are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreFaults {
    /// Every call fails with status 503.
    pub is_down: bool,
    /// Calls get no response.
    pub is_unresponsive: bool,
    /// Transactions are applied, but their responses are dropped.
    pub drops_responses: bool,
    /// The change feed reports no changes.
    pub withholds_changes: bool,
    /// Delay of each response, in milliseconds.
    pub delay_ms: u64,
}
