//! Conditional transactions.

use super::Row;
use super::Table;

/// Writes that are applied atomically if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Conditions on the current rows.
    pub conditions: Vec<Condition>,
    /// Writes.
    pub writes: Vec<Write>,
}

/// Condition on the version of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// Table of the row.
    pub table: Table,
    /// Key of the row.
    pub key: String,
    /// Required version; 0 if the row must not exist.
    pub version: u64,
}

/// Write of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Table of the row.
    pub table: Table,
    /// Key of the row.
    pub key: String,
    /// New value; `None` deletes the row.
    pub value: Option<Vec<u8>>,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The writes were applied.
    Committed {
        /// New version of the written rows.
        version: u64,
        /// Store time of the commit.
        store_ms: u64,
    },
    /// A condition does not hold; contains the current rows of the conditions.
    Conflict(Vec<Row>),
}
