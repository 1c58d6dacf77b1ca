//! Snapshots of tables.

use super::Row;

/// Snapshot of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The rows, sorted by key.
    pub rows: Vec<Row>,
    /// Version of the store at the time of the snapshot.
    pub version: u64,
    /// Store time of the snapshot.
    pub store_ms: u64,
}
