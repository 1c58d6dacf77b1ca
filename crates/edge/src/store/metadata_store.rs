//! Calls to the store.

use super::{Changes, Listing, Outcome, StoreError, Table, Transaction};

/// A store with transactions, implemented for each platform and by stand-ins.
///
/// Calls block.
pub trait MetadataStore: Clone + Send + 'static {
    /// Reads a whole table.
    ///
    /// # Errors
    ///
    /// Fails when the store refuses or does not answer.
    fn list(&self, table: Table) -> Result<Listing, StoreError>;

    /// Reads the changes after a version.
    ///
    /// # Errors
    ///
    /// Fails when the store refuses or does not answer.
    fn changes(&self, table: Table, after: u64) -> Result<Changes, StoreError>;

    /// Applies a transaction.
    ///
    /// # Errors
    ///
    /// Fails when the store refuses or does not answer.
    fn transact(&self, transaction: &Transaction) -> Result<Outcome, StoreError>;
}
