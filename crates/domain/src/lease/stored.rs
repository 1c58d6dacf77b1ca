//! Versioned rows of the table service.

/// A row with the version of the commit that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Stored<Row> {
    /// Commit version.
    pub version: u64,
    /// Value of the row.
    pub row: Row,
}

impl<Row> Stored<Row> {
    /// Pairs a row with its commit version.
    #[must_use]
    pub fn new(version: u64, row: Row) -> Self {
        Self { version, row }
    }
}
