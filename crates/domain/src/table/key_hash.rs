//! Hashes of bearer keys.

use std::fmt;

/// SHA-256 of a bearer key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyHash([u8; KeyHash::LEN_BYTES]);

impl KeyHash {
    /// Length of a SHA-256 hash.
    pub const LEN_BYTES: usize = 32;

    /// Wraps the bytes of a hash.
    #[must_use]
    pub fn new(bytes: [u8; Self::LEN_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the hash.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8; Self::LEN_BYTES] {
        &self.0
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyHash(..)")
    }
}
