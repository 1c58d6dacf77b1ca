//! Tables of the store.

/// A table of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Table {
    /// Configuration and adapter versions; written by the operator.
    Operator,
    /// Entries of workers; each worker writes its own.
    Workers,
    /// Leases; each daemon writes its own.
    Leases,
    /// Holders of workers.
    Holders,
    /// Quarantined segments of prompts.
    Quarantine,
}

impl Table {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Workers => "workers",
            Self::Leases => "leases",
            Self::Holders => "holders",
            Self::Quarantine => "quarantine",
        }
    }
}
