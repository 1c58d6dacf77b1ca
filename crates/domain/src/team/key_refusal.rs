//! Reasons for which a key is refused.

/// Why a request has no access to its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyRefusal {
    /// The request has no key.
    Missing,
    /// No team has the key, or two teams have it.
    Unknown,
}

impl KeyRefusal {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Unknown => "unknown",
        }
    }
}
