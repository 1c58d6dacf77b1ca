//! Changes to a table.

use super::Row;

/// Result of reading the changes to a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// Changed rows in order, possibly none.
    Rows {
        /// The rows.
        rows: Vec<Row>,
        /// Version after which the next read continues.
        version: u64,
        /// Store time up to which the changes are complete.
        store_ms: u64,
    },
    /// The store no longer has the changes after the requested version; the table must be listed
    /// again.
    HistoryLost,
}
