//! Directory of workers.

use std::sync::Arc;

use indexmap::IndexMap;
use xxhash_rust::xxh3;

use super::{ReadSeries, Upstream};
use crate::name;

/// Time for which a worker whose entry expired during an outage of the list stays in the directory.
///
/// Workers register again within 2 s of the end of an outage.
pub const REREGISTRATION_GRACE_MS: u64 = 2_000;
/// Time after the last read of another daemon's series in which no entry can have expired: an entry
/// expires after three missed heartbeats, which take longer.
const SERIES_TOLERANCE_MS: u64 = 2_000;

/// Time for which other daemons are told that a worker stated that it is leaving.
const LEAVING_REPORT_MS: u64 = 30_000;
/// Time for which a leaving process is remembered without an entry, in case it registers again.
const UNLISTED_LEAVING_TTL_MS: u64 = 600_000;

/// Change of the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A worker was added, or restarted under the same name.
    Joined(Arc<Upstream>),
    /// The entry of a known worker changed.
    Updated(Arc<Upstream>),
    /// A worker was removed and must not get new requests.
    Left(name::WorkerName),
}

/// Workers that requests can be sent to, as listed by the platform.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    upstreams: IndexMap<name::WorkerName, Arc<Upstream>>,
    /// The entries as listed, without workers that are kept although their entry is missing.
    listed: IndexMap<name::WorkerName, Arc<Upstream>>,
    /// Sum of the hashes of the entries that are listed, so that a worker that is kept without an entry
    /// does not confirm the copies of daemons that have not read of its removal yet.
    digest: u64,
    /// Worker processes that stated that they are leaving.
    leaving: IndexMap<name::WorkerName, LeavingProcess>,
    /// Workers whose entry expired during an outage, with the time at which they are removed.
    removal_due_ms: IndexMap<name::WorkerName, u64>,
    is_reachable: bool,
    /// Time from which the list has been readable without interruption.
    reachable_since_ms: u64,
    /// The same time on the store's clock.
    reachable_since_store_ms: u64,
    /// Latest series of reads by another daemon.
    peer_series: Option<ReadSeries>,
}

/// Worker process that stated that it is leaving.
#[derive(Clone, Copy, Debug)]
struct LeavingProcess {
    started_unix_ms: u64,
    recorded_ms: u64,
}

impl Directory {
    /// Iterates over the workers, including draining ones.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.upstreams.values()
    }

    /// Returns a worker.
    #[must_use]
    pub fn get(&self, worker: &name::WorkerName) -> Option<&Arc<Upstream>> {
        self.upstreams.get(worker)
    }

    /// Returns whether a worker is kept although its entry is missing.
    #[must_use]
    pub fn is_missing(&self, worker: &name::WorkerName) -> bool {
        self.removal_due_ms.contains_key(worker)
    }

    /// Returns a hash of the listed workers that does not depend on the order of the entries.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Records that the list could not be read.
    pub fn mark_unreachable(&mut self) {
        self.is_reachable = false;
    }

    /// Records that the list was restored from an older copy, which may lack entries of live workers.
    ///
    /// Workers repeat their entries as after an outage. A process that was draining stays so, whatever the copy
    /// says of it; one without a known start cannot be told from its successor.
    pub fn mark_restored(&mut self, now_ms: u64) {
        self.is_reachable = false;
        self.peer_series = None;
        let draining: Vec<_> = self
            .upstreams
            .values()
            .filter(|known| known.is_draining && known.started_unix_ms > 0)
            .map(Arc::clone)
            .collect();
        for known in draining {
            self.remember_leaving(&known.name, known.started_unix_ms, now_ms);
        }
    }

    /// Records that the list was read; the store's clock showed `store_ms`.
    pub fn mark_reachable(&mut self, store_ms: u64, now_ms: u64) {
        if !self.is_reachable {
            self.is_reachable = true;
            self.reachable_since_ms = now_ms;
            self.reachable_since_store_ms = store_ms;
            self.apply_peer_series();
        }
    }

    /// Records reads of another daemon.
    ///
    /// They show whether the store was away or only this daemon was cut off from it. No entry expires
    /// because of the latter.
    pub fn observe_series(&mut self, series: ReadSeries) {
        if self.peer_series.is_none_or(|known| known.until_store_ms <= series.until_store_ms) {
            self.peer_series = Some(series);
            self.apply_peer_series();
        }
    }

    /// Moves the end of the last outage back to the start of the other daemon's series if that
    /// series extends into the time since this daemon reads the list again.
    fn apply_peer_series(&mut self) {
        let Some(series) = self.peer_series.filter(|_| self.is_reachable) else { return };
        if series.until_store_ms + SERIES_TOLERANCE_MS < self.reachable_since_store_ms {
            return;
        }
        let earlier_ms = self.reachable_since_store_ms.saturating_sub(series.since_store_ms);
        self.reachable_since_store_ms -= earlier_ms;
        self.reachable_since_ms = self.reachable_since_ms.saturating_sub(earlier_ms);
        for due_ms in self.removal_due_ms.values_mut() {
            *due_ms = (*due_ms).min(self.reachable_since_ms + REREGISTRATION_GRACE_MS);
        }
    }

    /// Inserts or updates the entry of a worker.
    ///
    /// A difference only in the adapters is not reported as a change: the lease holder of the worker
    /// publishes more recent information on them.
    pub fn upsert(&mut self, upstream: Upstream) -> Option<Change> {
        self.removal_due_ms.swap_remove(&upstream.name);
        let known = self.upstreams.get(&upstream.name);
        let listed = self.listed.get(&upstream.name).or(known);
        let is_same = listed.is_some_and(|listed| listed.equals_except_adapters(&upstream));
        let is_new = known.is_none_or(|known| known.started_unix_ms != upstream.started_unix_ms);
        let listed = Arc::new(upstream);
        self.digest = self.digest.wrapping_add(hash(&listed));
        if let Some(replaced) = self.listed.insert(listed.name.clone(), Arc::clone(&listed)) {
            self.digest = self.digest.wrapping_sub(hash(&replaced));
        }
        let upstream = if self.states_leaving(&listed) { drained(&listed) } else { listed };
        self.upstreams.insert(upstream.name.clone(), Arc::clone(&upstream));
        if is_same {
            return None;
        }
        Some(if is_new { Change::Joined(upstream) } else { Change::Updated(upstream) })
    }

    /// Removes a worker whose entry is no longer listed.
    ///
    /// Just after an outage of the list, the worker is kept for `REREGISTRATION_GRACE_MS`, since a
    /// live worker whose entry expired registers again.
    pub fn remove(&mut self, worker: &name::WorkerName, now_ms: u64) -> Option<Change> {
        let known = Arc::clone(self.upstreams.get(worker)?);
        let until_ms = self.reachable_since_ms + REREGISTRATION_GRACE_MS;
        let may_register_again =
            self.reachable_since_ms > 0 && now_ms < until_ms && !known.is_draining;
        if let Some(listed) = self.listed.swap_remove(worker) {
            self.digest = self.digest.wrapping_sub(hash(&listed));
        }
        if may_register_again {
            self.removal_due_ms.insert(worker.clone(), until_ms);
            return None;
        }
        self.removal_due_ms.swap_remove(worker);
        self.upstreams.shift_remove(worker);
        Some(Change::Left(worker.clone()))
    }

    /// Records that a worker process stated that it is leaving, whatever its entry says.
    ///
    /// It gets no new requests from now on, also if its entry is missing for a while.
    pub fn record_leaving(
        &mut self,
        worker: &name::WorkerName,
        started_unix_ms: u64,
        now_ms: u64,
    ) -> Option<Change> {
        self.remember_leaving(worker, started_unix_ms, now_ms);
        let known = Arc::clone(self.upstreams.get(worker)?);
        if known.is_draining || !self.states_leaving(&known) {
            return None;
        }
        let upstream = drained(&known);
        self.upstreams.insert(worker.clone(), Arc::clone(&upstream));
        Some(Change::Updated(upstream))
    }

    fn remember_leaving(&mut self, worker: &name::WorkerName, started_unix_ms: u64, now_ms: u64) {
        let new = LeavingProcess { started_unix_ms, recorded_ms: now_ms };
        let process = self.leaving.entry(worker.clone()).or_insert(new);
        if process.started_unix_ms < started_unix_ms {
            *process = new;
        }
    }

    /// Iterates over the processes that stated lately that they are leaving, with their start times.
    pub fn recently_leaving(&self, now_ms: u64) -> impl Iterator<Item = (&name::WorkerName, u64)> {
        let recent = self.leaving.iter().filter(move |(_, process)| {
            now_ms.saturating_sub(process.recorded_ms) < LEAVING_REPORT_MS
        });
        recent.map(|(worker, process)| (worker, process.started_unix_ms))
    }

    /// Returns whether the process of an entry, or a later one of the worker, stated that it is leaving.
    fn states_leaving(&self, upstream: &Upstream) -> bool {
        let process = self.leaving.get(&upstream.name);
        process.is_some_and(|process| process.started_unix_ms >= upstream.started_unix_ms)
    }

    /// Removes the workers that did not register again within the grace period, and forgets the leaving
    /// processes that have been gone for long.
    pub fn remove_expired(&mut self, now_ms: u64) -> Vec<Change> {
        let upstreams = &self.upstreams;
        self.leaving.retain(|worker, process| {
            upstreams.contains_key(worker)
                || now_ms.saturating_sub(process.recorded_ms) < UNLISTED_LEAVING_TTL_MS
        });
        let mut changes = Vec::new();
        let expired = self.removal_due_ms.iter().filter(|(_, until_ms)| **until_ms <= now_ms);
        let expired: Vec<_> = expired.map(|(worker, _)| worker.clone()).collect();
        for worker in expired {
            self.removal_due_ms.swap_remove(&worker);
            self.upstreams.shift_remove(&worker);
            changes.push(Change::Left(worker));
        }
        changes
    }
}

/// Returns an entry as that of a worker that must not get new requests.
fn drained(upstream: &Upstream) -> Arc<Upstream> {
    Arc::new(Upstream { is_draining: true, ..upstream.clone() })
}

/// Returns the hash of an entry without its adapters, which the lease holder of the worker reports.
fn hash(upstream: &Upstream) -> u64 {
    let Upstream {
        name,
        service,
        address,
        locality,
        slots,
        is_draining,
        started_unix_ms,
        base_models,
        adapters: _,
    } = upstream;
    let (region, failure_domain) = (locality.region(), locality.failure_domain());
    let mut text = format!(
        "{name}\n{service}\n{address}\n{region}\n{failure_domain}\n{slots}\n{is_draining}\n{started_unix_ms}"
    );
    for base_model in base_models {
        text.push('\n');
        text.push_str(base_model.as_str());
    }
    xxh3::xxh3_64(text.as_bytes())
}
