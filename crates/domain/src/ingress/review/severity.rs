//! Severity of findings.

/// How serious a finding is; a later variant is more serious.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The entry has no effect, contradicts another one, or removes something in use.
    Warning,
    /// The configuration must not be put in force.
    Error,
}

impl Severity {
    /// Returns the name used in reports.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Warning => "warning",
            Self::Error => "error",
        }
    }
}
