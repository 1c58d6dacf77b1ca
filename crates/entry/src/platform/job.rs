//! Calls to the platform and their replies.

use jasminetack_wire::platform;

use super::CallError;

/// Number by which the control thread matches a reply to its call.
pub type CallId = u64;

/// A call to the platform.
#[derive(Clone, Debug)]
pub enum Job {
    /// Read rows under a prefix that changed after a version.
    Rows {
        /// Prefix of the keys.
        prefix: &'static str,
        /// Version after which rows must have changed.
        after: u64,
    },
    /// Read the host list.
    Hosts,
    /// Read rows by key.
    Read {
        /// Returned with the reply.
        call_id: CallId,
        /// Keys of the rows.
        request: platform::ReadRequest,
    },
    /// Commit a transaction.
    Transact {
        /// Returned with the reply.
        call_id: CallId,
        /// Conditions and writes.
        transaction: platform::Transaction,
    },
}

/// Reply to a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Changed rows.
    Rows {
        /// Prefix of the request.
        prefix: &'static str,
        /// Rows, or the error of the call.
        result: Result<platform::RowsPage, CallError>,
    },
    /// The host list.
    Hosts(Result<platform::HostList, CallError>),
    /// Rows by key.
    Read {
        /// Identifier from the call.
        call_id: CallId,
        /// Rows, or the error of the call.
        result: Result<platform::RowsPage, CallError>,
    },
    /// Result of a transaction.
    Transact {
        /// Identifier from the call.
        call_id: CallId,
        /// Commit or conflict, or the error of the call.
        result: Result<platform::TransactionReply, CallError>,
    },
}

impl Reply {
    /// Returns the name of the call for metrics.
    pub fn call(&self) -> &'static str {
        match self {
            Self::Rows { .. } => "rows",
            Self::Hosts(_) => "hosts",
            Self::Read { .. } => "read",
            Self::Transact { .. } => "transact",
        }
    }

    /// Returns whether the call succeeded; a conflict counts as success.
    pub fn succeeded(&self) -> bool {
        match self {
            Self::Rows { result, .. } | Self::Read { result, .. } => result.is_ok(),
            Self::Hosts(result) => result.is_ok(),
            Self::Transact { result, .. } => result.is_ok(),
        }
    }
}
