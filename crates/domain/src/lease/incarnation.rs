//! Session incarnations.

use std::fmt;

/// Incarnation number of a daemon's session; each new session of the same host has a higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Exclusive bound of the random part of the step between two processes on one host.
    ///
    /// 2^20 leaves room for 2^32 restarts in the 53 bits that JSON readers represent exactly.
    pub const MAX_RANDOM_STEP: u64 = 1 << 20;

    /// Creates an incarnation from its stored value.
    #[must_use]
    pub fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the stored value.
    #[must_use]
    pub fn value(self) -> u64 {
        self.0
    }

    /// Returns the incarnation of a process that starts after this one.
    ///
    /// `random` separates two processes that start concurrently under the same host name, so that
    /// neither mistakes the other's row for its own.
    #[must_use]
    pub fn restarted(self, random: u64) -> Self {
        Self(self.0 + 1 + random % Self::MAX_RANDOM_STEP)
    }

    /// Returns the next incarnation of the same process.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
