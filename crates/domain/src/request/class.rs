//! Priority classes.

/// Priority class of a request, in descending order of priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Class {
    /// Interactive requests: a user waits for the response.
    Urgent,
    /// Class of requests that ask for none.
    #[default]
    Normal,
    /// Background requests.
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

    /// Parses the name of a class.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "urgent" => Some(Self::Urgent),
            "normal" => Some(Self::Normal),
            "bulk" => Some(Self::Bulk),
            _ => None,
        }
    }

    /// Caps a requested class at `allowed`, the most urgent class that a row permits.
    #[must_use]
    pub fn limited_to(self, allowed: Self) -> Self {
        self.max(allowed)
    }
}
