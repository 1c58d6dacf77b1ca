//! Division of permits among the daemons.

use xxhash_rust::xxh3;

use crate::name;

/// Division of the permits of all workers among the daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitSchedule {
    own: u64,
    others: Vec<u64>,
}

impl PermitSchedule {
    /// Creates the schedule of a daemon that shares the permits with other daemons.
    #[must_use]
    pub fn new<'a, Hosts>(own: &name::HostName, others: Hosts) -> Self
    where
        Hosts: Iterator<Item = &'a name::HostName>,
    {
        let mut others: Vec<_> = others.map(|host| hash(host.as_str())).collect();
        others.sort_unstable();
        Self { own: hash(own.as_str()), others }
    }

    /// Returns whether a permit of a worker belongs to this daemon.
    pub(super) fn is_own(&self, worker: u64, index: u64) -> bool {
        let score = |host: u64| xxh3::xxh3_64_with_seed(&index.to_le_bytes(), worker ^ host);
        let own = (score(self.own), self.own);
        self.others.iter().all(|other| (score(*other), *other) <= own)
    }
}

/// Returns the hash of a name that identifies a daemon or worker in a schedule.
pub(super) fn hash(name: &str) -> u64 {
    xxh3::xxh3_64(name.as_bytes())
}
