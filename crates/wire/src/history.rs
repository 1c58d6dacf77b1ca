//! History of the operators' table as JSON.

use serde::{Deserialize, Serialize};

use crate::row;

/// Prefix of the keys of history rows: `history/KIND/NAME/TOKEN`.
pub const HISTORY_PREFIX: &str = "history/";

/// One change of one row, written in the transaction that changed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryRow {
    /// Who made the change.
    pub operator: String,
    /// When the change was sent, by the clock of the operator's host.
    pub at_unix_ms: u64,
    /// Version that the row had before; `None` when it did not exist.
    pub old_version: Option<u64>,
    /// Row before the change.
    pub old: Option<row::WireRow>,
    /// Row after the change.
    pub new: Option<row::WireRow>,
}
