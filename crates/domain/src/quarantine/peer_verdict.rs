//! Quarantine of one segment as another daemon reports it.

/// Quarantine of one segment as another daemon reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerVerdict {
    /// Time since the first crash that counted.
    pub first_crash_age_ms: u64,
    /// Time for which requests with the segment are still refused.
    pub remaining_ms: u64,
    /// Length of the quarantine.
    pub duration_ms: u64,
}
