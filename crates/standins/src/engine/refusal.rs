//! Refused orders and requests.

/// An order or request that the engine refused and did not act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Short code.
    pub code: &'static str,
    /// Text for people.
    pub message: String,
}

impl Refusal {
    /// Creates a refusal.
    #[must_use]
    pub fn new(status: u16, code: &'static str, message: String) -> Self {
        Self { status, code, message }
    }
}
