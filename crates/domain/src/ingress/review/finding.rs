//! Findings of a review.

use super::{Place, Severity};

/// Result of a review that an operator should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// What it is about.
    pub place: Place,
    /// Explanation; contains no keys, only the first digits of their digests.
    pub text: String,
}

impl Finding {
    /// Creates an error.
    #[must_use]
    pub fn error(place: Place, text: String) -> Self {
        Self { severity: Severity::Error, place, text }
    }

    /// Creates a warning.
    #[must_use]
    pub fn warning(place: Place, text: String) -> Self {
        Self { severity: Severity::Warning, place, text }
    }
}
