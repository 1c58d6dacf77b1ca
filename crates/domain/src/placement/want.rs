//! Demand for an adapter that a worker does not hold.

/// Demand for one adapter version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Want {
    /// Version; 0 for the newest.
    pub version: u32,
    /// When the demand arose.
    pub since_ms: u64,
    /// When it was last confirmed.
    pub confirmed_ms: u64,
}
