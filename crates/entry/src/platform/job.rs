//! Calls to the platform and their results.

use jasminetack_wire::platform;

use super::CallError;

/// Number that the control thread uses to match a result with its call.
pub type CallId = u64;

/// A call to make.
#[derive(Clone, Debug)]
pub enum Job {
    /// Read rows under a prefix that changed after a version.
    Rows {
        /// Prefix of the keys.
        prefix: &'static str,
        /// Version after which changes are wanted.
        after: u64,
    },
    /// Read the host list.
    Hosts,
    /// Read rows by key.
    Read {
        /// Returned with the result.
        call_id: CallId,
        /// The keys.
        request: platform::ReadRequest,
    },
    /// Commit a transaction.
    Transact {
        /// Returned with the result.
        call_id: CallId,
        /// The transaction.
        transaction: platform::Transaction,
    },
}

/// Result of a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Changed rows.
    Rows {
        /// Prefix that was asked for.
        prefix: &'static str,
        /// The rows.
        result: Result<platform::RowsPage, CallError>,
    },
    /// The host list.
    Hosts(Result<platform::HostList, CallError>),
    /// Rows by key.
    Read {
        /// CallId of the call.
        call_id: CallId,
        /// The rows.
        result: Result<platform::RowsPage, CallError>,
    },
    /// Result of a transaction.
    Transact {
        /// CallId of the call.
        call_id: CallId,
        /// What became of it.
        result: Result<platform::TransactionReply, CallError>,
    },
}

impl Reply {
    /// Returns the name of the call, for metrics.
    pub fn call(&self) -> &'static str {
        match self {
            Self::Rows { .. } => "rows",
            Self::Hosts(_) => "hosts",
            Self::Read { .. } => "read",
            Self::Transact { .. } => "transact",
        }
    }

    /// Tells whether the platform answered the call.
    pub fn succeeded(&self) -> bool {
        match self {
            Self::Rows { result, .. } | Self::Read { result, .. } => result.is_ok(),
            Self::Hosts(result) => result.is_ok(),
            Self::Transact { result, .. } => result.is_ok(),
        }
    }
}
