//! Answers to orders.

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The worker is in the ordered state.
    Applied,
    /// The worker carries the order out.
    Accepted,
    /// The worker is busy with another order.
    Busy,
    /// Another worker has the address, or the base model is missing.
    Misdirected,
    /// The worker refuses the order for good.
    Refused,
    /// The connection could not be opened, so that the order was not sent.
    NotSent,
    /// No answer; the order may be carried out up to several seconds later.
    Unanswered,
}

impl OrderResult {
    /// Returns the name for logs.
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
        }
    }
}
