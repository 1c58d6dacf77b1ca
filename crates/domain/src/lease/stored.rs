//! Rows as the table service stores them.

/// A row with the version of the commit that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Stored<Row> {
    /// Version of the commit.
    pub version: u64,
    /// The row.
    pub row: Row,
}

impl<Row> Stored<Row> {
    /// Creates a row at a version.
    #[must_use]
    pub fn new(version: u64, row: Row) -> Self {
        Self { version, row }
    }
}
