//! Rows of the store.

/// One row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key within its table.
    pub key: String,
    /// Content; `None` for a row that was removed.
    pub value: Option<Vec<u8>>,
    /// Version of the transaction that wrote the row.
    pub version: u64,
}
