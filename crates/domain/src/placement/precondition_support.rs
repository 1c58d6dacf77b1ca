//! Whether workers check preconditions.

/// Whether a worker checks the preconditions of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreconditionSupport {
    /// Not known yet.
    Unknown,
    /// The worker executes an order only if its precondition holds.
    Checked,
    /// The worker executes orders whatever their precondition.
    Ignored,
}

impl PreconditionSupport {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Checked => "checked",
            Self::Ignored => "ignored",
        }
    }
}
