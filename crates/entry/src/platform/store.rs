//! Table service as claims use it.

use jasminetack_wire::platform as wire;

use super::{CallError, HttpClient};

/// Blocking access to the table service.
pub trait Store {
    /// Reads rows under a prefix that changed after a version.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer in time or answers with a failure.
    fn rows(&self, prefix: &str, after: u64) -> Result<wire::RowsPage, CallError>;

    /// Reads rows by key.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer in time or answers with a failure.
    fn read(&self, request: &wire::ReadRequest) -> Result<wire::RowsPage, CallError>;

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer in time or answers with a failure; the transaction
    /// may have taken effect all the same.
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
