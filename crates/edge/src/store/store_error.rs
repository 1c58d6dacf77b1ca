//! Errors of store calls.

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum StoreError {
    /// The store refused the call without executing it.
    #[snafu(display("store refused the call with status {status}"))]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// No usable response was received; the call may have taken effect, or may do so later.
    #[snafu(display("no usable response from the store: {message}"))]
    Unanswered {
        /// Description of the failure.
        message: String,
    },
}
