//! JSON encoding of the change history of the operators' table.

use serde::{Deserialize, Serialize};

use crate::row;

/// Prefix of the keys of history rows: `history/KIND/NAME/TOKEN`.
pub const HISTORY_PREFIX: &str = "history/";

/// Change of a row, written in the same transaction as the row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryRow {
    /// Operator who made the change.
    pub operator: String,
    /// Time at which the change was sent, by the clock of the operator's host.
    pub at_unix_ms: u64,
    /// Version of the row before the change; `None` when the row did not exist.
    pub old_version: Option<u64>,
    /// Row before the change; `None` when it did not exist.
    pub old: Option<row::WireRow>,
    /// Row after the change; `None` when it was deleted.
    pub new: Option<row::WireRow>,
}
