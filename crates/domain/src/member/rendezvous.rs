//! Rendezvous (highest random weight) hashing: daemons with the same candidate set choose the same
//! candidate, and removing a candidate remaps only its own keys.

use xxhash_rust::xxh3;

/// Returns the score of a candidate for a key; the highest score wins.
#[must_use]
pub fn score(key: &str, candidate: &str) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(key.as_bytes());
    // Names contain no zero byte, so different pairs never hash the same bytes.
    hasher.update(&[0]);
    hasher.update(candidate.as_bytes());
    hasher.digest()
}
