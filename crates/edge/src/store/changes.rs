//! Changes of a table.

use super::Row;

/// What has changed in a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// Changed rows in order, possibly none.
    Rows {
        /// The rows.
        rows: Vec<Row>,
        /// Version after which to go on.
        version: u64,
        /// Time of the store's clock up to which the changes are complete.
        store_ms: u64,
    },
    /// The store no longer has the changes; the table must be listed again.
    HistoryLost,
}
