//! Workers on which an adapter is loaded first.

use crate::member;
use crate::name;

/// Workers on which an adapter is loaded first, by rendezvous hashing: daemons that know the same workers
/// and limits agree on them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PreferredWorkers<'a> {
    /// The first worker of all.
    first: Option<(u64, &'a name::WorkerName)>,
    /// The first worker without a limit, which serves what the other one does not accept.
    first_unlimited: Option<(u64, &'a name::WorkerName)>,
}

impl<'a> PreferredWorkers<'a> {
    /// Adds a worker that the adapter can be loaded on.
    pub(super) fn add(
        &mut self,
        adapter: &name::AdapterName,
        worker: &'a name::WorkerName,
        is_limited: bool,
    ) {
        let score = member::rendezvous::score(adapter.as_str(), worker.as_str());
        self.first = self.first.max(Some((score, worker)));
        if !is_limited {
            self.first_unlimited = self.first_unlimited.max(Some((score, worker)));
        }
    }

    /// Returns whether a worker is preferred.
    pub(super) fn contains(&self, worker: &name::WorkerName) -> bool {
        let preferred = [self.first, self.first_unlimited].into_iter().flatten();
        preferred.into_iter().any(|(_, preferred)| preferred == worker)
    }

    /// Returns whether the adapter can be loaded on a worker without a limit.
    pub(super) fn has_unlimited(&self) -> bool {
        self.first_unlimited.is_some()
    }
}
