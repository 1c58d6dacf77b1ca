//! State of a daemon's copy of a table.

use jasminetack_domain::store_time;
use jasminetack_domain::upstream;
use prost::Message;

/// State of a daemon's copy of a table.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct TableState {
    /// Digest of the rows that affect request handling.
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
    /// Store clock time at which the copy was current.
    #[prost(uint64, tag = "2")]
    pub as_of_store_ms: u64,
    /// Store clock time of the first read of the sender's uninterrupted series of reads that ends at
    /// `as_of_store_ms`; absent if another daemon confirmed the copy at that time.
    #[prost(uint64, optional, tag = "3")]
    pub read_since_store_ms: Option<u64>,
    /// Era of the store in which the copy was current; 0 if it reports none.
    #[prost(uint64, tag = "4")]
    pub era: u64,
}

impl TableState {
    /// Returns the store time at which the copy was current.
    #[must_use]
    pub fn as_of(&self) -> store_time::StoreTime {
        store_time::StoreTime::new(self.era, self.as_of_store_ms)
    }

    /// Returns the sender's series of reads that ends at the time of its copy.
    #[must_use]
    pub fn read_series(&self) -> Option<upstream::ReadSeries> {
        let since_store_ms = self.read_since_store_ms?;
        Some(upstream::ReadSeries { since_store_ms, until_store_ms: self.as_of_store_ms })
    }
}
