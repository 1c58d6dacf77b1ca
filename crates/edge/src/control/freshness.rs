//! Scheduling of reads of the operator and workers tables.

use jasminetack_domain::member;
use jasminetack_domain::name;
use jasminetack_domain::store_time::StoreTime;
use jasminetack_domain::upstream;

/// Age at which the first daemon of a region reads a table again.
///
/// A worker that leaves must be noticed within 2.5 s, and a store that has lost its history may
/// delay changes by a second, so this age and the longest delay stay well below that bound.
const MAX_AGE_MS: u64 = 900;
/// Delay of a read for each live daemon of the region that ranks before this one: the time of a read
/// and of the datagram about it, so that usually one daemon reads for all.
const RANK_DELAY_MS: u64 = 150;
/// Longest delay of a read, however many daemons rank before this one.
const MAX_DELAY_MS: u64 = 500;
/// Maximum jitter between the retries of a region's daemons.
const MAX_JITTER_MS: u64 = 500;
/// The first backoff is the maximum backoff divided by this; each further one doubles.
const INITIAL_BACKOFF_DIVISOR: u64 = 4;
/// Maximum backoff per daemon of a region, since one daemon that notices the recovery is enough.
const MAX_BACKOFF_PER_READER_MS: u64 = 330;
/// Bounds of the maximum backoff; the upper one leaves enough of the permitted recovery time to
/// catch up.
const MAX_BACKOFF_FLOOR_MS: u64 = 1_000;
const MAX_BACKOFF_CEILING_MS: u64 = 3_500;
/// Longest backoff while other daemons read the table, so that only this daemon is cut off.
const CUT_OFF_BACKOFF_MS: u64 = 1_000;

/// Minimum time between two reads, however many changes other daemons report.
const MIN_READ_INTERVAL_MS: u64 = 300;

/// Freshness of this daemon's copy of one table, which determines when to read the table again.
///
/// A daemon that has read the table sends the others a digest and the store time of the read; a
/// daemon with the same digest has an equally fresh copy. Store times are compared rather than
/// ages, since an age would ignore the delay of each datagram that passes it on.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    /// Delay of reads after those daemons of the region that rank before this one.
    delay_ms: u64,
    as_of: Option<StoreTime>,
    /// Era of the own reads.
    series_era: u64,
    /// Own reads since the last failed one and since the last restore of the store.
    series: Option<upstream::ReadSeries>,
    is_reading: bool,
    failed_ms: u64,
    /// Change known to another daemon only: the store time of that daemon's copy, and the time at
    /// which to read the table unless another daemon of the region has done so.
    pending_change: Option<(StoreTime, u64)>,
    next_read_ms: u64,
    jitter_ms: u64,
    /// Backoff after the last read; `None` if it succeeded.
    backoff_ms: Option<u64>,
}

impl Freshness {
    /// Creates the state of a table that has not been read; the host name determines the jitter.
    pub fn new(host: &name::HostName, table: &str) -> Self {
        let jitter_ms = member::rendezvous::score(host.as_str(), table) % MAX_JITTER_MS;
        Self {
            delay_ms: 0,
            as_of: None,
            series_era: 0,
            series: None,
            is_reading: false,
            failed_ms: 0,
            pending_change: None,
            next_read_ms: 0,
            jitter_ms,
            backoff_ms: None,
        }
    }

    /// Sets the number of live daemons of the region that read the table before this one.
    pub fn set_rank(&mut self, rank: usize) {
        let rank = u64::try_from(rank).unwrap_or(u64::MAX);
        self.delay_ms = rank.saturating_mul(RANK_DELAY_MS).min(MAX_DELAY_MS);
    }

    /// Returns whether the table must be read now, and if so records that a read has started.
    ///
    /// `store_now` is an upper bound of the store's clock. A copy from before a restore is old.
    pub fn begin_read(&mut self, store_now: Option<StoreTime>, now_ms: u64) -> bool {
        let age_ms = self.as_of.zip(store_now);
        let age_ms = age_ms.and_then(|(as_of, store_now)| as_of.age_ms(store_now));
        let is_old = age_ms.is_none_or(|age_ms| age_ms >= MAX_AGE_MS + self.delay_ms);
        let is_change_due = self.pending_change.is_some_and(|(_, due_ms)| due_ms <= now_ms);
        if self.is_reading || !is_old && !is_change_due || now_ms < self.next_read_ms {
            return false;
        }
        self.is_reading = true;
        self.pending_change = None;
        self.next_read_ms = now_ms + MIN_READ_INTERVAL_MS;
        true
    }

    /// Records a successful read.
    pub fn record_read(&mut self, as_of: StoreTime) {
        self.is_reading = false;
        self.backoff_ms = None;
        self.series = self.series.filter(|_| self.series_era == as_of.era);
        self.series_era = as_of.era;
        let series = self.series.get_or_insert(upstream::ReadSeries::new(as_of.store_ms));
        series.extend(as_of.store_ms);
        self.confirm(as_of);
    }

    /// Records a failed read; `readers` is the number of daemons in the region.
    pub fn record_failure(&mut self, readers: usize, now_ms: u64) {
        self.is_reading = false;
        self.series = None;
        self.failed_ms = now_ms;
        let readers = u64::try_from(readers).unwrap_or(u64::MAX);
        let max_backoff_ms = readers.saturating_mul(MAX_BACKOFF_PER_READER_MS);
        let max_backoff_ms = max_backoff_ms.clamp(MAX_BACKOFF_FLOOR_MS, MAX_BACKOFF_CEILING_MS);
        // Spreads the retries of daemons whose reads failed at the same time.
        let max_backoff_ms = max_backoff_ms - max_backoff_ms / 2 * self.jitter_ms / MAX_JITTER_MS;
        let backoff_ms =
            self.backoff_ms.map_or(max_backoff_ms / INITIAL_BACKOFF_DIVISOR, |ms| ms * 2);
        let backoff_ms = backoff_ms.min(max_backoff_ms);
        self.backoff_ms = Some(backoff_ms);
        self.next_read_ms = now_ms + backoff_ms;
    }

    /// Applies the state of another daemon's copy.
    pub fn apply_peer_state(&mut self, is_same: bool, as_of: StoreTime, now_ms: u64) {
        let Some(own) = self.as_of else { return };
        if is_same {
            self.confirm(as_of);
            return;
        }
        // The daemon with the older copy has missed a change.
        if as_of > own {
            if self.backoff_ms.is_some() {
                let retry_ms = now_ms.max(self.failed_ms + CUT_OFF_BACKOFF_MS);
                self.next_read_ms = self.next_read_ms.min(retry_ms);
            }
            self.pending_change.get_or_insert((as_of, now_ms + self.delay_ms));
        }
    }

    /// Returns the uninterrupted series of own reads if the last of them made the copy current.
    pub fn current_series(&self) -> Option<upstream::ReadSeries> {
        let until =
            |series: &upstream::ReadSeries| StoreTime::new(self.series_era, series.until_store_ms);
        self.series.filter(|series| Some(until(series)) == self.as_of)
    }

    /// Returns the store time at which this daemon's copy was current.
    pub fn as_of(&self) -> Option<StoreTime> {
        self.as_of
    }

    /// Returns the era of this daemon's reads of the table.
    pub fn read_era(&self) -> u64 {
        self.series_era
    }

    fn confirm(&mut self, as_of: StoreTime) {
        self.as_of = Some(self.as_of.map_or(as_of, |known| known.max(as_of)));
        self.pending_change = self.pending_change.filter(|(known, _)| *known > as_of);
    }
}
