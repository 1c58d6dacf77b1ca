//! Content digests of calls.

/// SHA-256 digest of a call's method, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ContentDigest([u8; ContentDigest::LEN_BYTES]);

impl ContentDigest {
    /// Length of the digest.
    pub const LEN_BYTES: usize = 32;

    /// Creates a digest from its bytes.
    #[must_use]
    pub fn new(bytes: [u8; Self::LEN_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the digest.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8; Self::LEN_BYTES] {
        &self.0
    }
}
