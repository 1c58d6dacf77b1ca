//! Tokens of attempts.

/// Random number that identifies one attempt to claim a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptToken(u128);

impl AttemptToken {
    /// Wraps a random number.
    #[must_use]
    pub fn new(value: u128) -> Self {
        Self(value)
    }

    /// Returns the number.
    #[must_use]
    pub fn value(self) -> u128 {
        self.0
    }
}
