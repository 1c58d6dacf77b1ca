//! Interface to the metadata store.

use super::{Changes, Listing, Outcome, StoreError, Table, Transaction};

/// Transactional key-value store, implemented for each platform and by stand-ins.
///
/// All methods block.
pub trait MetadataStore: Clone + Send + 'static {
    /// Reads all rows of a table.
    ///
    /// # Errors
    ///
    /// Fails when the store refuses or does not answer.
    fn list(&self, table: Table) -> Result<Listing, StoreError>;

    /// Reads the changes to a table after a version.
    ///
    /// # Errors
    ///
    /// Fails when the store refuses or does not answer.
    fn changes(&self, table: Table, after: u64) -> Result<Changes, StoreError>;

    /// Executes a transaction.
    ///
    /// # Errors
    ///
    /// Fails when the store refuses or does not answer.
    fn transact(&self, transaction: &Transaction) -> Result<Outcome, StoreError>;
}
