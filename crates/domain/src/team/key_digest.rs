//! Digests of bearer keys.

use std::fmt;
use std::hash::{Hash, Hasher};

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Leading bytes of a digest that are hashed and shown.
const PREFIX_BYTES: usize = 4;

/// SHA-256 of a bearer key; the key itself is not kept.
///
/// Digests are compared in constant time. `Debug` and `Display` show the first 8 hexadecimal digits.
#[derive(Clone, Copy, Eq)]
pub struct KeyDigest([u8; KeyDigest::LEN_BYTES]);

impl KeyDigest {
    /// Length of a digest.
    pub const LEN_BYTES: usize = 32;

    /// Computes the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Hash for KeyDigest {
    fn hash<State>(&self, state: &mut State)
    where
        State: Hasher,
    {
        // A digest is uniformly distributed, so a part of it is hash enough.
        state.write(&self.0[..2 * PREFIX_BYTES]);
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in &self.0[..PREFIX_BYTES] {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyDigest({self})")
    }
}
