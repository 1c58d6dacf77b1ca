//! Quarantine of one segment.

use super::{PeerVerdict, StoredVerdict};

/// First quarantine of a segment.
const INITIAL_DURATION_MS: u64 = 120_000;
/// Longest quarantine of a segment.
const MAX_DURATION_MS: u64 = 3_600_000;

/// Quarantine of one segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Time of the first crash that counted; an answer that started later clears the segment.
    pub first_crash_ms: u64,
    /// Time until which requests with the segment are refused.
    pub until_ms: u64,
    /// Length of the quarantine. The segment stays on probation for as long again, during which one
    /// more crash renews the quarantine.
    pub duration_ms: u64,
}

impl Verdict {
    /// Creates the first quarantine of a segment.
    pub(super) fn new(first_crash_ms: u64, now_ms: u64) -> Self {
        let duration_ms = INITIAL_DURATION_MS;
        Self { first_crash_ms, until_ms: now_ms + duration_ms, duration_ms }
    }

    /// Returns the quarantine that follows on a crash during the probation.
    pub(super) fn renewed(self, crash_ms: u64, now_ms: u64) -> Self {
        let duration_ms = (self.duration_ms * 2).min(MAX_DURATION_MS);
        Self { first_crash_ms: crash_ms, until_ms: now_ms + duration_ms, duration_ms }
    }

    /// Returns whether requests with the segment are refused.
    #[must_use]
    pub fn is_active(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Returns whether the probation has ended.
    pub(super) fn is_over(&self, now_ms: u64) -> bool {
        now_ms >= self.until_ms + self.duration_ms
    }

    /// Returns what other daemons are told.
    #[must_use]
    pub fn to_peers(&self, now_ms: u64) -> PeerVerdict {
        PeerVerdict {
            first_crash_age_ms: now_ms.saturating_sub(self.first_crash_ms),
            remaining_ms: self.until_ms.saturating_sub(now_ms),
            duration_ms: self.duration_ms,
        }
    }

    /// Returns what is kept in the store, whose clock shows `store_ms`.
    pub(super) fn to_store(self, store_ms: u64, now_ms: u64) -> StoredVerdict {
        let to_store_ms = |at_ms: u64| (store_ms + at_ms).saturating_sub(now_ms);
        StoredVerdict {
            first_crash_store_ms: to_store_ms(self.first_crash_ms),
            until_store_ms: to_store_ms(self.until_ms),
            duration_ms: self.duration_ms,
        }
    }

    /// Returns a quarantine that is in the store, whose clock shows `store_ms`.
    pub(super) fn from_store(stored: StoredVerdict, store_ms: u64, now_ms: u64) -> Self {
        let duration_ms = stored.duration_ms.min(MAX_DURATION_MS);
        let to_own_ms = |at_ms: u64| (now_ms + at_ms).saturating_sub(store_ms);
        Self {
            first_crash_ms: to_own_ms(stored.first_crash_store_ms),
            until_ms: to_own_ms(stored.until_store_ms).min(now_ms + duration_ms),
            duration_ms,
        }
    }

    /// Returns the quarantine that another daemon reports.
    pub(super) fn from_peer(reported: PeerVerdict, now_ms: u64) -> Self {
        let duration_ms = reported.duration_ms.min(MAX_DURATION_MS);
        Self {
            first_crash_ms: now_ms.saturating_sub(reported.first_crash_age_ms),
            until_ms: now_ms + reported.remaining_ms.min(duration_ms),
            duration_ms,
        }
    }
}
