//! Uninterrupted reads of the list of workers.

/// Series of successful reads of the list by one daemon without a failed one in between.
///
/// Times are those of the store's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadSeries {
    /// Time of the first read.
    pub since_store_ms: u64,
    /// Time of the last read.
    pub until_store_ms: u64,
}

impl ReadSeries {
    /// Starts a series with its first read.
    #[must_use]
    pub fn new(store_ms: u64) -> Self {
        Self { since_store_ms: store_ms, until_store_ms: store_ms }
    }

    /// Appends a read.
    pub fn extend(&mut self, store_ms: u64) {
        self.until_store_ms = self.until_store_ms.max(store_ms);
    }
}
