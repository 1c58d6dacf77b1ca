//! Rules for leases and claims after a restore of the store.

use super::{EraStart, LeaseRow};

/// Era of a store that has never been restored.
const FIRST_ERA: u64 = 1;

/// Relation of a response's era to the latest known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraObservation {
    /// The response is of the latest known era, or is the first response.
    Current,
    /// The response belongs to an era that has ended.
    Outdated,
    /// The store has been restored since the earlier responses.
    Restored {
        /// The era known before.
        previous: u64,
    },
}

/// Era of the store as known to one daemon, and what the daemon may do in it.
///
/// A restore may lose the rows of live holders. All leases that were acknowledged before it end within one lease
/// duration after it. Until then, holders write their lost rows again, and nobody claims a worker: a worker
/// without a holder row may have a holder. A renewal counts only if the holder's rows are in the store
/// (`is_confirmed`), so that a holder that has not written them stops within that time.
#[derive(Clone, Debug)]
pub struct StoreEra {
    ttl_ms: u64,
    guard_ms: u64,
    era: Option<u64>,
    /// Whether this daemon has seen an earlier era.
    has_seen_restore: bool,
    start: Option<EraStart>,
    /// Time at which the leases from before the restore have ended; `None` if no restore is known.
    claims_from_ms: Option<u64>,
    is_confirmed: bool,
}

impl StoreEra {
    /// Creates the state of a daemon that has received no response.
    ///
    /// `ttl_ms` is the lease duration of all daemons, `guard_ms` the time between the end of a lease and the
    /// takeover of its workers.
    #[must_use]
    pub fn new(ttl_ms: u64, guard_ms: u64) -> Self {
        Self {
            ttl_ms,
            guard_ms,
            era: None,
            has_seen_restore: false,
            start: None,
            claims_from_ms: None,
            is_confirmed: false,
        }
    }

    /// Records the era of a response.
    pub fn observe(&mut self, era: u64) -> EraObservation {
        let Some(known) = self.era else {
            self.era = Some(era);
            return EraObservation::Current;
        };
        if era == known {
            return EraObservation::Current;
        }
        if era < known {
            return EraObservation::Outdated;
        }
        self.era = Some(era);
        self.has_seen_restore = true;
        self.start = None;
        self.is_confirmed = false;
        EraObservation::Restored { previous: known }
    }

    /// Returns the latest known era; `None` before the first response.
    #[must_use]
    pub fn era(&self) -> Option<u64> {
        self.era
    }

    /// Returns when the era began, as stated in this daemon's lease row; `None` until the rows have been read.
    #[must_use]
    pub fn start(&self) -> Option<EraStart> {
        self.start
    }

    /// Decides from the first complete read of the rows in this era, at `store_ms`, when claims may begin.
    ///
    /// A daemon that has not seen an earlier era learns from the lease rows of others that the restore was long
    /// ago. `is_store_empty` means that there are neither leases nor holders, as before the first start, or in a
    /// copy from before it.
    pub fn begin<'a, Leases>(
        &mut self,
        leases: Leases,
        is_store_empty: bool,
        store_ms: u64,
        now_ms: u64,
    ) where
        Leases: Iterator<Item = &'a LeaseRow>,
    {
        let Some(era) = self.era.filter(|_| self.start.is_none()) else { return };
        let stated = leases.filter(|row| row.era_start.era == era);
        let stated_ms = stated.map(|row| row.era_start.by_store_ms).min();
        let by_store_ms = match stated_ms {
            // The rows of a daemon that started on an empty store say nothing of what this one has seen.
            _ if self.has_seen_restore => store_ms.max(1),
            _ if era == 0 || era == FIRST_ERA && is_store_empty => 0,
            Some(stated_ms) => stated_ms.min(store_ms),
            None => store_ms.max(1),
        };
        self.start = Some(EraStart { era, by_store_ms });
        let leases_end_store_ms = by_store_ms + self.ttl_ms + self.guard_ms;
        let leases_end_ms = (now_ms + leases_end_store_ms).saturating_sub(store_ms);
        self.claims_from_ms = (by_store_ms > 0).then_some(leases_end_ms);
    }

    /// Records that the holder rows of all workers of this daemon are in the store in this era.
    pub fn confirm(&mut self) {
        self.is_confirmed = true;
    }

    /// Returns whether the holder rows of this daemon's workers are in the store in this era.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Returns whether workers without a live holder in the store may be claimed.
    #[must_use]
    pub fn may_claim(&self, now_ms: u64) -> bool {
        let have_leases_ended = self.claims_from_ms.is_none_or(|from_ms| now_ms >= from_ms);
        self.is_confirmed && self.start.is_some() && have_leases_ended
    }

    /// Returns whether a worker that is claimed now may have got orders from an earlier holder that it may still
    /// execute.
    ///
    /// `has_row` tells whether it had a holder row. A restore may have lost that of a holder that sent orders until
    /// its lease ended; `late_order_window_ms` later, all of them have been executed.
    #[must_use]
    pub fn may_have_been_held(
        &self,
        has_row: bool,
        late_order_window_ms: u64,
        now_ms: u64,
    ) -> bool {
        has_row
            || self.claims_from_ms.is_some_and(|from_ms| now_ms < from_ms + late_order_window_ms)
    }

    /// Returns the time from which workers may be claimed; `None` if no restore is known.
    #[must_use]
    pub fn claims_from_ms(&self) -> Option<u64> {
        self.claims_from_ms
    }
}
