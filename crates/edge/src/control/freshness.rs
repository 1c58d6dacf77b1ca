//! When the tables of the operator and of the workers must be read.

use jasminetack_domain::member;
use jasminetack_domain::name;

/// Age of what is known of a table from which it is read again. A store that loses its history may
/// keep changes back for a second, so this and the spread are well below the users' bound of 2.5 s on
/// a worker that leaves.
const MAX_AGE_MS: u64 = 900;
/// Largest part by which the daemons of a region differ, so that mostly one of them reads for all.
const MAX_JITTER_MS: u64 = 500;
/// Daemons of a region from which news is read with the full difference between them.
const FULL_JITTER_READERS: u64 = 10;
/// Part of the longest pause that follows the first failed reading; the pause doubles from there.
const INITIAL_BACKOFF_DIVISOR: u64 = 4;
/// Longest pause for each daemon of a region: one of them is enough to notice that the store is back.
const MAX_BACKOFF_PER_READER_MS: u64 = 330;
/// Bounds of the longest pause; the upper one leaves time within the bounds on catching up.
const MIN_MAX_BACKOFF_MS: u64 = 1_000;
const MAX_MAX_BACKOFF_MS: u64 = 3_500;

/// Least time between two readings, however often others tell of changes.
const MIN_READ_INTERVAL_MS: u64 = 300;

/// How recent this daemon's knowledge of one table is.
///
/// Whoever has read the table tells the others a digest of it and the time of the store's clock as of
/// which it holds; a daemon whose own digest is the same is as well informed as the one that read.
/// The time is the store's, since an age would grow younger with each daemon that passes it on.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    max_age_ms: u64,
    as_of_store_ms: Option<u64>,
    is_reading: bool,
    /// News of another daemon that this one lacks: the time of the store's clock as of which it is
    /// known there, and when to read it unless somebody else of the region did.
    pending_change: Option<(u64, u64)>,
    next_read_ms: u64,
    jitter_ms: u64,
    /// Pause after the last reading when it failed.
    backoff_ms: Option<u64>,
}

impl Freshness {
    /// Creates the state of a daemon that knows nothing; the name decides how early it reads.
    pub fn new(host: &name::HostName, table: &str) -> Self {
        let jitter_ms = member::rendezvous::score(host.as_str(), table) % MAX_JITTER_MS;
        Self {
            max_age_ms: MAX_AGE_MS + jitter_ms,
            as_of_store_ms: None,
            is_reading: false,
            pending_change: None,
            next_read_ms: 0,
            jitter_ms,
            backoff_ms: None,
        }
    }

    /// Returns whether the table must be read now, and notes that it is; `store_ms` is the latest
    /// time that the store's clock may show.
    pub fn begin_read(&mut self, store_ms: Option<u64>, now_ms: u64) -> bool {
        let age_ms = self.as_of_store_ms.zip(store_ms);
        let age_ms = age_ms.map(|(as_of_ms, store_ms)| store_ms.saturating_sub(as_of_ms));
        let is_old = age_ms.is_none_or(|age_ms| age_ms >= self.max_age_ms);
        let is_change_due = self.pending_change.is_some_and(|(_, due_ms)| due_ms <= now_ms);
        if self.is_reading || !is_old && !is_change_due || now_ms < self.next_read_ms {
            return false;
        }
        self.is_reading = true;
        self.pending_change = None;
        self.next_read_ms = now_ms + MIN_READ_INTERVAL_MS;
        true
    }

    /// Takes in a successful reading.
    pub fn record_read(&mut self, as_of_store_ms: u64) {
        self.is_reading = false;
        self.backoff_ms = None;
        self.confirm(as_of_store_ms);
    }

    /// Notes that a reading failed; `readers` counts the daemons of the region.
    pub fn record_failure(&mut self, readers: usize, now_ms: u64) {
        self.is_reading = false;
        let readers = u64::try_from(readers).unwrap_or(u64::MAX);
        let max_backoff_ms = readers.saturating_mul(MAX_BACKOFF_PER_READER_MS);
        let max_backoff_ms = max_backoff_ms.clamp(MIN_MAX_BACKOFF_MS, MAX_MAX_BACKOFF_MS);
        // Daemons that failed together come back one after the other.
        let max_backoff_ms = max_backoff_ms - max_backoff_ms / 2 * self.jitter_ms / MAX_JITTER_MS;
        let backoff_ms =
            self.backoff_ms.map_or(max_backoff_ms / INITIAL_BACKOFF_DIVISOR, |ms| ms * 2);
        let backoff_ms = backoff_ms.min(max_backoff_ms);
        self.backoff_ms = Some(backoff_ms);
        self.next_read_ms = now_ms + backoff_ms;
    }

    /// Takes in the knowledge of another daemon; `readers` counts the daemons of the region.
    pub fn apply_peer_state(
        &mut self,
        is_same: bool,
        as_of_store_ms: u64,
        readers: usize,
        now_ms: u64,
    ) {
        let Some(own_ms) = self.as_of_store_ms else { return };
        if is_same {
            self.confirm(as_of_store_ms);
            return;
        }
        // The one whose knowledge is older has missed a change.
        if as_of_store_ms > own_ms {
            let readers =
                u64::try_from(readers).unwrap_or(FULL_JITTER_READERS).min(FULL_JITTER_READERS);
            let due_ms = now_ms + self.jitter_ms * readers / FULL_JITTER_READERS;
            self.pending_change.get_or_insert((as_of_store_ms, due_ms));
        }
    }

    /// Returns the time of the store's clock as of which the table is known.
    pub fn as_of_store_ms(&self) -> Option<u64> {
        self.as_of_store_ms
    }

    fn confirm(&mut self, store_ms: u64) {
        self.as_of_store_ms =
            Some(self.as_of_store_ms.map_or(store_ms, |known| known.max(store_ms)));
        self.pending_change = self.pending_change.filter(|(known_ms, _)| *known_ms > store_ms);
    }
}
