//! Scheduling classes.

/// Scheduling class of a request, most urgent first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Class {
    /// A person waits for the answer.
    Urgent,
    /// The default.
    #[default]
    Normal,
    /// Background work.
    Bulk,
}

impl Class {
    /// Returns the name used in headers, table rows and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Bulk => "bulk",
        }
    }

    /// Reads a class from its name.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "urgent" => Some(Self::Urgent),
            "normal" => Some(Self::Normal),
            "bulk" => Some(Self::Bulk),
            _ => None,
        }
    }

    /// Limits a requested class to the most urgent one that a row allows.
    #[must_use]
    pub fn limited_to(self, allowed: Self) -> Self {
        self.max(allowed)
    }
}
