//! The list of workers.

use std::sync::Arc;

use indexmap::IndexMap;
use xxhash_rust::xxh3;

use super::Upstream;
use crate::name;

/// Time for which an entry that vanished during an outage of the list may still come back.
///
/// Workers renew a lapsed entry within two seconds of the return of the list's store.
pub const LAPSE_GRACE_MS: u64 = 2_000;

/// What an update means to the users of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A worker is new, or started again under its name.
    Joined(Arc<Upstream>),
    /// A known worker changed.
    Updated(Arc<Upstream>),
    /// A worker takes no new work from now on.
    Left(name::WorkerName),
}

/// The workers that may be used.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    upstreams: IndexMap<name::WorkerName, Arc<Upstream>>,
    /// Entries that vanished during an outage, with the time at which they count as gone.
    lapsed_until_ms: IndexMap<name::WorkerName, u64>,
    is_reachable: bool,
    returned_ms: u64,
}

impl Directory {
    /// Lists the workers, those that are draining included.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.upstreams.values()
    }

    /// Returns a worker.
    #[must_use]
    pub fn get(&self, worker: &name::WorkerName) -> Option<&Arc<Upstream>> {
        self.upstreams.get(worker)
    }

    /// Returns a number that two lists with the same usable workers have in common.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let hash = |upstream: &Arc<Upstream>| {
            let mut hasher = xxh3::Xxh3::new();
            hasher.update(upstream.name.as_str().as_bytes());
            hasher.update(&upstream.started_unix_ms.to_le_bytes());
            hasher.update(&[u8::from(upstream.is_draining), upstream.base_models.len() as u8]);
            hasher.digest()
        };
        self.upstreams.values().map(hash).fold(0, u64::wrapping_add)
    }

    /// Notes that the list could not be read.
    pub fn unreachable(&mut self) {
        self.is_reachable = false;
    }

    /// Notes that the list was read.
    pub fn reachable(&mut self, now_ms: u64) {
        if !self.is_reachable {
            self.is_reachable = true;
            self.returned_ms = now_ms;
        }
    }

    /// Takes in the entry of a worker.
    ///
    /// Other adapters alone are no change: the holder of a worker knows them better.
    pub fn put(&mut self, upstream: Upstream) -> Option<Change> {
        self.lapsed_until_ms.swap_remove(&upstream.name);
        let known = self.upstreams.get(&upstream.name);
        let is_same = known.is_some_and(|known| known.is_used_like(&upstream));
        let is_new = known.is_none_or(|known| known.started_unix_ms != upstream.started_unix_ms);
        let upstream = Arc::new(upstream);
        self.upstreams.insert(upstream.name.clone(), Arc::clone(&upstream));
        if is_same {
            return None;
        }
        Some(if is_new { Change::Joined(upstream) } else { Change::Updated(upstream) })
    }

    /// Takes in that an entry is not listed any more.
    ///
    /// An entry that vanished while the list could not be read is kept for a short time, since a
    /// live worker enters itself again.
    pub fn remove(&mut self, worker: &name::WorkerName, now_ms: u64) -> Option<Change> {
        let known = self.upstreams.get(worker)?;
        let until_ms = self.returned_ms + LAPSE_GRACE_MS;
        let may_return = self.returned_ms > 0 && now_ms < until_ms && !known.is_draining;
        if may_return {
            self.lapsed_until_ms.insert(worker.clone(), until_ms);
            return None;
        }
        self.lapsed_until_ms.swap_remove(worker);
        self.upstreams.shift_remove(worker);
        Some(Change::Left(worker.clone()))
    }

    /// Removes lapsed entries that did not come back in time.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Change> {
        let mut changes = Vec::new();
        let lapsed = self.lapsed_until_ms.iter().filter(|(_, until_ms)| **until_ms <= now_ms);
        let lapsed: Vec<_> = lapsed.map(|(worker, _)| worker.clone()).collect();
        for worker in lapsed {
            self.lapsed_until_ms.swap_remove(&worker);
            self.upstreams.shift_remove(&worker);
            changes.push(Change::Left(worker));
        }
        changes
    }
}
