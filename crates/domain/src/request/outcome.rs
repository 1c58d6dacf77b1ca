//! Outcome of failed requests.

/// Whether a failed request may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The request was not executed and will not be executed later.
    NotRun,
    /// The request may have been executed.
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
