//! Quarantine of one segment as it is kept in the store.

/// Quarantine of one segment as it is kept in the store, with times on the store's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredVerdict {
    /// Time of the first crash that counted.
    pub first_crash_store_ms: u64,
    /// Time until which requests with the segment are refused.
    pub until_store_ms: u64,
    /// Length of the quarantine, and of the probation that follows.
    pub duration_ms: u64,
}

impl StoredVerdict {
    /// Returns whether the probation has ended.
    #[must_use]
    pub fn is_over(&self, store_ms: u64) -> bool {
        store_ms >= self.until_store_ms.saturating_add(self.duration_ms)
    }
}
