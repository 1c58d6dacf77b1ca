//! Retry semantics of a route.

/// Execution guarantee of a request, which limits its retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The request may be executed any number of times.
    Idempotent,
    /// The request must be executed at most once.
    AtMostOnce,
    /// The request must be executed at most once; its response is an event stream.
    Stream {
        /// Whether another worker may resume the stream after the last event received.
        is_resumable: bool,
    },
}

impl RequestKind {
    /// Returns whether a request that may have been executed can be sent again from the start.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Returns whether the response is an event stream.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::AtMostOnce => "at-most-once",
            Self::Stream { is_resumable: true } => "resumable-stream",
            Self::Stream { is_resumable: false } => "stream",
        }
    }
}
