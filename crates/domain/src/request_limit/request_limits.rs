//! Limits of all workers.

use rustc_hash::FxHashMap;

use super::permit_schedule;
use super::worker_permits::{self, WorkerPermits};
use super::{LimitChange, LimitRecord, Observation, Permit, PermitSchedule, StatedLimit};
use crate::name;
use crate::upstream;

/// Relative change of a limit that is reported at once; smaller ones follow with the next report.
const MIN_REPORTED_CHANGE: f64 = 0.1;
/// Time for which other daemons are told that a limit was lifted.
const LIFTED_REPORT_MS: u64 = 30_000;
/// Time for which the record of a worker that is not listed is kept, in case it registers again.
const UNLISTED_TTL_MS: u64 = 600_000;

/// Limits of all workers, and this daemon's permits for them.
#[derive(Clone, Debug, Default)]
pub struct RequestLimits {
    workers: FxHashMap<name::WorkerName, LimitedWorker>,
    /// `None` until the other daemons are known; workers with a limit get no requests until then.
    schedule: Option<PermitSchedule>,
    /// By how much the store's clock is ahead of the local one; `None` until it has been read.
    store_ahead_ms: Option<i64>,
}

#[derive(Clone, Debug)]
struct LimitedWorker {
    record: LimitRecord,
    /// Present while a limit is in force.
    permits: Option<WorkerPermits>,
}

impl RequestLimits {
    /// Sets the difference between the store's clock and the local one.
    pub fn set_store_clock(&mut self, store_ahead_ms: i64) {
        self.store_ahead_ms = Some(store_ahead_ms);
    }

    /// Sets how permits are divided among the daemons.
    pub fn set_schedule(&mut self, schedule: PermitSchedule, now_ms: u64) {
        let Some(store_ms) = self.store_ms(now_ms) else { return };
        if self.schedule.as_ref() == Some(&schedule) {
            return;
        }
        self.schedule = Some(schedule);
        for known in self.workers.values_mut() {
            if let Some(permits) = &mut known.permits {
                permits.reassign(store_ms);
            }
        }
    }

    /// Records what a response states; returns the change of the worker's limit.
    pub fn observe(&mut self, observation: &Observation<'_>, now_ms: u64) -> Option<LimitChange> {
        let store_ms = self.store_ms(now_ms)?;
        let Observation { worker, started_unix_ms, limit_per_s, sent_ms } = *observation;
        if limit_per_s.is_none() && !self.workers.contains_key(worker) {
            return None;
        }
        let observed =
            limit_per_s.map(|limit_per_s| StatedLimit { limit_per_s, observed_store_ms: store_ms });
        let unlimited_store_ms = match observed {
            None => self.store_ms(sent_ms)?,
            Some(_) => 0,
        };
        let record = LimitRecord { started_unix_ms, stated: observed, unlimited_store_ms };
        self.merge(worker, &record, now_ms)
    }

    /// Merges what another daemon knows of a worker; returns the change of the worker's limit.
    pub fn merge(
        &mut self,
        worker: &name::WorkerName,
        record: &LimitRecord,
        now_ms: u64,
    ) -> Option<LimitChange> {
        let store_ms = self.store_ms(now_ms)?;
        let new = || LimitedWorker { record: *record, permits: None };
        let known = self.workers.entry(worker.clone()).or_insert_with(new);
        known.record.merge(record);
        let previous = known.permits.as_ref().map(WorkerPermits::limit_per_s);
        let Some(limit_per_s) = known.record.limit_per_s() else {
            known.permits = None;
            return previous.map(|_| LimitChange::Lifted);
        };
        let new =
            || WorkerPermits::new(permit_schedule::hash(worker.as_str()), limit_per_s, store_ms);
        let permits = known.permits.get_or_insert_with(new);
        permits.set_limit(limit_per_s, store_ms);
        let current = permits.limit_per_s();
        let is_reported = previous
            .is_none_or(|previous| (current - previous).abs() > previous * MIN_REPORTED_CHANGE);
        is_reported.then_some(LimitChange::Limited { limit_per_s })
    }

    /// Returns whether requests to a worker need a permit.
    #[must_use]
    pub fn is_limited(&self, upstream: &upstream::Upstream) -> bool {
        self.limited(upstream).is_some()
    }

    /// Returns whether any worker has a limit.
    #[must_use]
    pub fn has_limited(&self) -> bool {
        self.limited_count() > 0
    }

    /// Returns the number of workers with a limit.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        self.workers.values().filter(|known| known.permits.is_some()).count()
    }

    /// Returns the time until a new request may be sent to a worker: 0 without a limit, `None` if no
    /// permit starts soon enough to be taken.
    pub fn wait_ms(&mut self, upstream: &upstream::Upstream, now_ms: u64) -> Option<u64> {
        if self.limited(upstream).is_none() {
            return Some(0);
        }
        let store_ms = self.store_ms(now_ms)?;
        let permits = self.workers.get_mut(&upstream.name)?.permits.as_mut()?;
        let start_store_ms = permits.first_free(self.schedule.as_ref()?, store_ms)?;
        Some(start_store_ms.saturating_sub(store_ms))
    }

    /// Takes the next permit for a worker.
    pub fn take(&mut self, worker: &name::WorkerName, now_ms: u64) -> Option<Permit> {
        let store_ms = self.store_ms(now_ms)?;
        let permits = self.workers.get_mut(worker)?.permits.as_mut()?;
        permits.take(self.schedule.as_ref()?, store_ms)
    }

    /// Returns a permit that was not used.
    pub fn put_back(&mut self, worker: &name::WorkerName, permit: Permit) {
        let known = self.workers.get_mut(worker);
        if let Some(permits) = known.and_then(|known| known.permits.as_mut()) {
            permits.put_back(permit);
        }
    }

    /// Returns the time until a permit can be used, or `None` if it has expired.
    #[must_use]
    pub fn permit_wait_ms(&self, permit: Permit, now_ms: u64) -> Option<u64> {
        let store_ms = self.store_ms(now_ms)?;
        let start_store_ms = permit.start_store_ms;
        (!worker_permits::is_expired(start_store_ms, store_ms))
            .then(|| start_store_ms.saturating_sub(store_ms))
    }

    /// Returns the requests per second that a worker accepts from all daemons, if it has a limit.
    #[must_use]
    pub fn limit_per_s(&self, upstream: &upstream::Upstream) -> Option<f64> {
        self.limited(upstream).map(WorkerPermits::limit_per_s)
    }

    /// Iterates over the records that other daemons need.
    pub fn records(&self, now_ms: u64) -> impl Iterator<Item = (&name::WorkerName, &LimitRecord)> {
        let oldest_ms = self.store_ms(now_ms).unwrap_or(0).saturating_sub(LIFTED_REPORT_MS);
        let records = self.workers.iter().filter(move |(_, known)| {
            known.permits.is_some() || known.record.updated_store_ms() >= oldest_ms
        });
        records.map(|(worker, known)| (worker, &known.record))
    }

    /// Removes the records of workers that have not been listed for long.
    pub fn remove_unlisted<IsListed>(&mut self, is_listed: IsListed, now_ms: u64)
    where
        IsListed: Fn(&name::WorkerName) -> bool,
    {
        let Some(store_ms) = self.store_ms(now_ms) else { return };
        self.workers.retain(|worker, known| {
            is_listed(worker) || known.record.updated_store_ms() + UNLISTED_TTL_MS > store_ms
        });
    }

    /// Returns the permits of a worker whose current process has a limit.
    fn limited(&self, upstream: &upstream::Upstream) -> Option<&WorkerPermits> {
        let known = self.workers.get(&upstream.name)?;
        let is_current = known.record.started_unix_ms >= upstream.started_unix_ms;
        known.permits.as_ref().filter(|_| is_current)
    }

    fn store_ms(&self, now_ms: u64) -> Option<u64> {
        now_ms.checked_add_signed(self.store_ahead_ms?)
    }
}
