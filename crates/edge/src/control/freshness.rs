//! When the tables of the operator and of the workers must be read.

use jasminetack_domain::member;
use jasminetack_domain::name;

/// Age of what is known of a table from which it is read again.
const MAX_AGE_MS: u64 = 1_100;
/// Largest part by which the daemons differ, so that mostly one of them reads for all.
const SPREAD_MS: u64 = 500;
/// Pause after a failed reading.
const FAILURE_PAUSE_MS: u64 = 250;

/// Least time between two readings, however often others tell of changes.
const MIN_INTERVAL_MS: u64 = 300;

/// How recent this daemon's knowledge of one table is.
///
/// Whoever has read the table tells the others a digest of it; a daemon whose own digest is the same
/// is as well informed as the one that read.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    max_age_ms: u64,
    confirmed_ms: Option<u64>,
    is_reading: bool,
    is_hinted: bool,
    next_read_ms: u64,
}

impl Freshness {
    /// Creates the state of a daemon that knows nothing; the name decides how early it reads.
    pub fn new(host: &name::HostName, table: &str) -> Self {
        let spread_ms = member::rendezvous::score(host.as_str(), table) % SPREAD_MS;
        Self {
            max_age_ms: MAX_AGE_MS + spread_ms,
            confirmed_ms: None,
            is_reading: false,
            is_hinted: false,
            next_read_ms: 0,
        }
    }

    /// Returns whether the table must be read now, and notes that it is.
    pub fn begin_read(&mut self, now_ms: u64) -> bool {
        let is_old = self.age_ms(now_ms).is_none_or(|age_ms| age_ms >= self.max_age_ms);
        if self.is_reading || !is_old && !self.is_hinted || now_ms < self.next_read_ms {
            return false;
        }
        self.is_reading = true;
        self.is_hinted = false;
        self.next_read_ms = now_ms + MIN_INTERVAL_MS;
        true
    }

    /// Takes in a successful reading that began at `began_ms`.
    pub fn read(&mut self, began_ms: u64) {
        self.is_reading = false;
        self.confirm(began_ms);
    }

    /// Notes that a reading failed.
    pub fn failed(&mut self, now_ms: u64) {
        self.is_reading = false;
        self.next_read_ms = now_ms + FAILURE_PAUSE_MS;
    }

    /// Takes in the knowledge of another daemon as of a time before now.
    pub fn told(&mut self, is_same: bool, age_ms: u64, now_ms: u64) {
        let Some(own_age_ms) = self.age_ms(now_ms) else { return };
        if is_same {
            self.confirm(now_ms.saturating_sub(age_ms));
            return;
        }
        // The one whose knowledge is older has missed a change.
        if age_ms < own_age_ms {
            self.is_hinted = true;
        }
    }

    /// Returns the age of the knowledge.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.confirmed_ms.map(|confirmed_ms| now_ms.saturating_sub(confirmed_ms))
    }

    fn confirm(&mut self, at_ms: u64) {
        self.confirmed_ms = Some(self.confirmed_ms.map_or(at_ms, |known_ms| known_ms.max(at_ms)));
    }
}
