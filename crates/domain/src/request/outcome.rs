//! What a failure says about the work.

/// Whether the work of a failed request may have been done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The request ran nowhere and will not run later.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the `Jasminetack-Outcome` header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}
