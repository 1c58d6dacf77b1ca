//! Units of quotas.

/// What a team's quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Tokens of prompts and answers.
    Tokens,
    /// Requests, whatever their size.
    Requests,
}

impl QuotaUnit {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Tokens => "tokens",
            Self::Requests => "requests",
        }
    }
}
