//! Failed calls to the store.

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum StoreError {
    /// The store refused the call, so that nothing was done.
    #[snafu(display("the store refused with status {status}"))]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// There was no usable answer; the call may have taken effect, or may do so later.
    #[snafu(display("no answer from the store: {message}"))]
    Unanswered {
        /// What happened.
        message: String,
    },
}
