//! Permits of this daemon for one worker.

use std::collections::VecDeque;

use super::{Permit, PermitSchedule};

/// Time from the start of a permit until it expires.
///
/// The requests that a worker receives in some window come from the permits that start in the window or
/// this long before it.
const PERMIT_VALID_MS: u64 = 1_500;
/// Longest time before its start at which a request can take a permit.
const MAX_ADVANCE_MS: u64 = 2_000;
/// Lowest rate of permits, also for a worker that accepts nothing: only a response can tell that its limit
/// has risen.
const MIN_LIMIT_PER_S: f64 = 0.25;
/// Highest rate of permits, which are looked at one by one.
const MAX_LIMIT_PER_S: f64 = 10_000.0;
const MS_PER_S: f64 = 1_000.0;

/// Permits of this daemon for one worker; times are those of the store's clock.
#[derive(Clone, Debug)]
pub(super) struct WorkerPermits {
    worker: u64,
    limit_per_s: f64,
    /// Starts of the permits that no request has taken, in ascending order.
    free_store_ms: VecDeque<u64>,
    /// Latest start of a permit that a request has taken.
    last_taken_store_ms: u64,
    /// First permit that was not looked at.
    next_index: u64,
}

impl WorkerPermits {
    /// Creates the permits of a worker; the first one starts after `store_ms`.
    pub(super) fn new(worker: u64, limit_per_s: f64, store_ms: u64) -> Self {
        let limit_per_s = limit_per_s.clamp(MIN_LIMIT_PER_S, MAX_LIMIT_PER_S);
        let mut permits = Self {
            worker,
            limit_per_s,
            free_store_ms: VecDeque::new(),
            last_taken_store_ms: 0,
            next_index: 0,
        };
        permits.next_index = permits.index_after(store_ms);
        permits
    }

    /// Returns the rate of the permits of all daemons.
    pub(super) fn limit_per_s(&self) -> f64 {
        self.limit_per_s
    }

    /// Changes the rate; permits that have started stay valid.
    pub(super) fn set_limit(&mut self, limit_per_s: f64, store_ms: u64) {
        let limit_per_s = limit_per_s.clamp(MIN_LIMIT_PER_S, MAX_LIMIT_PER_S);
        if self.limit_per_s != limit_per_s {
            self.limit_per_s = limit_per_s;
            self.reassign(store_ms);
        }
    }

    /// Drops the permits that have not started, since another daemon may own them now.
    pub(super) fn reassign(&mut self, store_ms: u64) {
        self.free_store_ms.retain(|start_store_ms| *start_store_ms <= store_ms);
        self.next_index = self.index_after(store_ms.max(self.last_taken_store_ms));
    }

    /// Returns the start of the first free permit, if one starts soon enough to be taken.
    pub(super) fn first_free(&mut self, schedule: &PermitSchedule, store_ms: u64) -> Option<u64> {
        while self.free_store_ms.front().is_some_and(|start| is_expired(*start, store_ms)) {
            self.free_store_ms.pop_front();
        }
        if let Some(start_store_ms) = self.free_store_ms.front() {
            return Some(*start_store_ms);
        }
        let oldest = self.index_after(store_ms.saturating_sub(PERMIT_VALID_MS));
        self.next_index = self.next_index.max(oldest);
        loop {
            let start_store_ms = self.start_store_ms(self.next_index);
            if start_store_ms > store_ms + MAX_ADVANCE_MS {
                return None;
            }
            self.next_index += 1;
            if schedule.is_own(self.worker, self.next_index - 1) {
                self.free_store_ms.push_back(start_store_ms);
                return Some(start_store_ms);
            }
        }
    }

    /// Takes the first free permit.
    pub(super) fn take(&mut self, schedule: &PermitSchedule, store_ms: u64) -> Option<Permit> {
        self.first_free(schedule, store_ms)?;
        let start_store_ms = self.free_store_ms.pop_front()?;
        self.last_taken_store_ms = self.last_taken_store_ms.max(start_store_ms);
        Some(Permit { start_store_ms })
    }

    /// Returns a permit that was not used.
    pub(super) fn put_back(&mut self, permit: Permit) {
        let start_store_ms = permit.start_store_ms;
        let position = self.free_store_ms.partition_point(|start| *start < start_store_ms);
        self.free_store_ms.insert(position, start_store_ms);
    }

    fn index_after(&self, store_ms: u64) -> u64 {
        (store_ms as f64 * self.limit_per_s / MS_PER_S) as u64 + 1
    }

    fn start_store_ms(&self, index: u64) -> u64 {
        (index as f64 * MS_PER_S / self.limit_per_s).ceil() as u64
    }
}

/// Returns whether a permit can no longer be used.
pub(super) fn is_expired(start_store_ms: u64, store_ms: u64) -> bool {
    store_ms > start_store_ms + PERMIT_VALID_MS
}
