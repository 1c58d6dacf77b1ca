//! Attempt tokens.

/// Random number that identifies an attempt to claim a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptToken(u128);

impl AttemptToken {
    /// Creates a token from a random number.
    #[must_use]
    pub fn new(value: u128) -> Self {
        Self(value)
    }

    /// Returns the number of the token.
    #[must_use]
    pub fn value(self) -> u128 {
        self.0
    }
}
