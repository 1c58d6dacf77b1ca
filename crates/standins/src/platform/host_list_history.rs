//! Recent versions of the host list, to serve stale reads.

use std::collections::VecDeque;

use jasminetack_wire::platform;

/// Recent versions of the host list with the time of each change.
#[derive(Debug)]
pub struct HostListHistory {
    lists: VecDeque<(u64, platform::HostList)>,
}

/// Retention period of old lists; the upper limit of the configurable lag.
const RETENTION_MS: u64 = 600_000;

impl Default for HostListHistory {
    fn default() -> Self {
        Self { lists: VecDeque::from([(0, platform::HostList::default())]) }
    }
}

impl HostListHistory {
    /// Inserts or replaces a host.
    pub fn put(&mut self, host: platform::Host, now_ms: u64) {
        let mut list = self.at(now_ms);
        match list.hosts.iter_mut().find(|known| known.name == host.name) {
            Some(known) => *known = host,
            None => list.hosts.push(host),
        }
        self.push(list, now_ms);
    }

    /// Removes a host; returns whether it was listed.
    pub fn remove(&mut self, name: &str, now_ms: u64) -> bool {
        let mut list = self.at(now_ms);
        let before = list.hosts.len();
        list.hosts.retain(|host| host.name != name);
        let removed = list.hosts.len() < before;
        self.push(list, now_ms);
        removed
    }

    /// Returns the list as of `at_ms`.
    #[must_use]
    pub fn at(&self, at_ms: u64) -> platform::HostList {
        let found = self.lists.iter().rev().find(|(since_ms, _)| *since_ms <= at_ms);
        found.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn push(&mut self, list: platform::HostList, now_ms: u64) {
        self.lists.push_back((now_ms, list));
        while let Some((until_ms, _)) = self.lists.get(1)
            && until_ms.saturating_add(RETENTION_MS) < now_ms
        {
            self.lists.pop_front();
        }
    }
}
