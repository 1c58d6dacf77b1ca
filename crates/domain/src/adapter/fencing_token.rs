//! Fencing tokens for worker ownership.

use std::fmt;

/// Number that increases with each change of a worker's owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FencingToken(u64);

impl FencingToken {
    /// Creates a fencing token from its stored value.
    #[must_use]
    pub fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the stored value.
    #[must_use]
    pub fn value(self) -> u64 {
        self.0
    }

    /// Returns the token of the next owner.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
