//! Rendezvous hashing: every daemon that knows the same candidates makes the same choice, and the
//! loss of a candidate moves only what it held.

use xxhash_rust::xxh3;

/// Returns the score of a candidate for a key; the highest score wins.
#[must_use]
pub fn score(key: &str, candidate: &str) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(key.as_bytes());
    // Names contain no zero byte, so that no two pairs hash the same bytes.
    hasher.update(&[0]);
    hasher.update(candidate.as_bytes());
    hasher.digest()
}
