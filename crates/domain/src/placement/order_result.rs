//! Results of orders.

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The worker is in the ordered state.
    Applied,
    /// The worker accepted the order and is executing it.
    Accepted,
    /// The worker is busy with another order.
    Busy,
    /// Another worker listens on the address, or the base model is missing.
    Misdirected,
    /// The worker refuses the order permanently; a repeat would be refused too.
    Refused,
    /// The connection could not be opened, so the order was not sent.
    NotSent,
    /// No answer; the worker may still execute the order several seconds later.
    Unanswered,
    /// An answer whose meaning is not specified; the worker may have accepted the order.
    Unspecified,
}

impl OrderResult {
    /// Returns whether the result leaves open if the worker accepts or accepted the order.
    #[must_use]
    pub fn is_unknown(self) -> bool {
        matches!(self, Self::Unanswered | Self::Unspecified)
    }

    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Applied => "holds",
            Self::Accepted => "accepted",
            Self::Busy => "busy",
            Self::Misdirected => "misdirected",
            Self::Refused => "refused",
            Self::NotSent => "not-sent",
            Self::Unanswered => "unanswered",
            Self::Unspecified => "unspecified",
        }
    }
}
