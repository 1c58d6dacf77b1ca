//! Faults of the store.

/// Faults of the store; all are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreFaults {
    /// Every call is refused with 503.
    pub is_down: bool,
    /// No call is answered.
    pub is_unresponsive: bool,
    /// Transactions are applied, and their answers are lost.
    pub drops_responses: bool,
    /// Followers are told of no changes.
    pub withholds_changes: bool,
    /// Delay of each answer.
    pub delay_ms: u64,
}
