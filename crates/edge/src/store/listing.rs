//! Content of a table.

use super::Row;

/// All rows of a table at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The rows, in the order of their keys.
    pub rows: Vec<Row>,
    /// Newest version of the store at that moment.
    pub version: u64,
    /// Time of the store's clock at that moment.
    pub store_ms: u64,
}
