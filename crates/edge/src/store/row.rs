//! Rows of the store.

use jasminetack_wire::fleet;

/// A row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key within its table.
    pub key: String,
    /// Value; `None` if the row was deleted.
    pub value: Option<Vec<u8>>,
    /// Version of the transaction that wrote the row.
    pub version: u64,
}

impl From<fleet::Row> for Row {
    fn from(row: fleet::Row) -> Self {
        Self { key: row.key, value: row.value, version: row.version }
    }
}

impl From<Row> for fleet::Row {
    fn from(row: Row) -> Self {
        Self { key: row.key, value: row.value, version: row.version }
    }
}
