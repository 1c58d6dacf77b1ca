//! Atomic changes under conditions.

use super::Row;
use super::Table;

/// Changes that are applied together, or not at all when a condition does not hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Conditions.
    pub conditions: Vec<Condition>,
    /// Changes.
    pub writes: Vec<Write>,
}

/// Version that a row must have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// Table of the row.
    pub table: Table,
    /// Key of the row.
    pub key: String,
    /// Its version; 0 when there must be no such row.
    pub version: u64,
}

/// A change of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Table of the row.
    pub table: Table,
    /// Key of the row.
    pub key: String,
    /// New content; `None` removes the row.
    pub value: Option<Vec<u8>>,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The changes are in force.
    Committed {
        /// Version of the rows that were written.
        version: u64,
        /// Time of the store's clock.
        store_ms: u64,
    },
    /// A condition does not hold; the present rows of the conditions.
    Conflict(Vec<Row>),
}
