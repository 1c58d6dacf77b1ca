//! What may be repeated.

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Any number of times.
    Idempotent,
    /// At most once.
    AtMostOnce,
    /// At most once, with an answer that is a series of events.
    Stream {
        /// Whether another worker may continue after the last event.
        is_resumable: bool,
    },
}

impl RequestKind {
    /// Returns whether a request that may have run can be sent again from its beginning.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Returns whether the answer is a series of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Returns the name for logs.
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
