//! Tables that the daemon uses.

/// A table of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Table {
    /// Configuration and adapter versions, written by the operator.
    Operator,
    /// Workers, written by themselves.
    Workers,
    /// Leases of daemons.
    Leases,
    /// Holders of workers, and notes of orders without an answer.
    Holders,
}

impl Table {
    /// Returns the name for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Workers => "workers",
            Self::Leases => "leases",
            Self::Holders => "holders",
        }
    }
}
