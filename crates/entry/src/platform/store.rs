//! Interface of the platform's table service for claims.

use jasminetack_wire::platform as wire;

use super::{CallError, HttpClient};

/// Blocking access to the table service.
pub trait Store {
    /// Reads rows under a prefix that changed after a version.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not reply in time or replies with an error.
    fn rows(&self, prefix: &str, after: u64) -> Result<wire::RowsPage, CallError>;

    /// Reads rows by key.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not reply in time or replies with an error.
    fn read(&self, request: &wire::ReadRequest) -> Result<wire::RowsPage, CallError>;

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not reply in time or replies with an error; the transaction may
    /// still have been committed.
    fn transact(
        &self,
        transaction: &wire::Transaction,
    ) -> Result<wire::TransactionReply, CallError>;
}

impl Store for HttpClient {
    fn rows(&self, prefix: &str, after: u64) -> Result<wire::RowsPage, CallError> {
        Self::rows(self, prefix, after)
    }

    fn read(&self, request: &wire::ReadRequest) -> Result<wire::RowsPage, CallError> {
        Self::read(self, request)
    }

    fn transact(
        &self,
        transaction: &wire::Transaction,
    ) -> Result<wire::TransactionReply, CallError> {
        Self::transact(self, transaction)
    }
}
