//! Membership view of the fleet.

use std::cmp::Reverse;

use indexmap::IndexMap;

use super::{Member, rendezvous};
use crate::lease;
use crate::locality;
use crate::name;

/// All known daemons, including the local one.
#[derive(Clone, Debug)]
pub struct Membership {
    local: name::HostName,
    monitor_count: usize,
    members: IndexMap<name::HostName, Member>,
}

impl Membership {
    /// Creates an empty membership.
    #[must_use]
    pub fn new(local: name::HostName, monitor_count: usize) -> Self {
        Self { local, monitor_count, members: IndexMap::new() }
    }

    /// Records a session row; returns whether the daemon's state or incarnation changed.
    pub fn observe(&mut self, stored: lease::Stored<lease::SessionRow>, now_ms: u64) -> bool {
        let host = stored.row.host.clone();
        let Some(member) = self.members.get_mut(&host) else {
            let session = lease::Observer::new(stored, now_ms);
            self.members.insert(host, Member { session, suspected_by: IndexMap::new() });
            return true;
        };
        let before = (member.session.row().incarnation, member.session.row().state);
        member.session.observe(stored, now_ms);
        let after = (member.session.row().incarnation, member.session.row().state);
        if before.0 != after.0 {
            member.suspected_by.clear();
        }
        before != after
    }

    /// Records a renewal that a daemon reported for its current incarnation.
    pub fn record_renewal(&mut self, holder: &lease::Holder, version: u64, now_ms: u64) {
        let Some(member) = self.members.get_mut(&holder.host) else { return };
        if member.session.row().incarnation == holder.incarnation {
            member.session.record_renewal(version, now_ms);
        }
    }

    /// Returns a daemon.
    #[must_use]
    pub fn get(&self, host: &name::HostName) -> Option<&Member> {
        self.members.get(host)
    }

    /// Returns the session row of a daemon.
    #[must_use]
    pub fn session(&self, host: &name::HostName) -> Option<&lease::Stored<lease::SessionRow>> {
        self.members.get(host).map(|member| member.session.stored())
    }

    /// Iterates over the daemons that hold a lease, including the local one.
    pub fn lease_holders(&self) -> impl Iterator<Item = (&name::HostName, &Member)> {
        self.members.iter().filter(|(_, member)| member.holds_lease())
    }

    /// Iterates over the other daemons that hold a lease.
    pub fn peers(&self) -> impl Iterator<Item = (&name::HostName, &Member)> {
        self.lease_holders().filter(|(host, _)| **host != self.local)
    }

    /// Iterates over the daemons that may become owners of workers, with their places.
    pub fn candidates(&self) -> impl Iterator<Item = (&name::HostName, &locality::Locality)> {
        let live = self.members.iter().filter(|(_, member)| member.is_live());
        live.map(|(host, member)| (host, &member.session.row().place))
    }

    /// Returns the monitors of a daemon: the highest rendezvous scores in its region, then those of
    /// other regions when its own has too few daemons.
    #[must_use]
    pub fn monitors_of(&self, host: &name::HostName) -> Vec<&name::HostName> {
        let Some(place) = self.members.get(host).map(|member| &member.session.row().place) else {
            return Vec::new();
        };
        let mut others: Vec<_> = self
            .lease_holders()
            .filter(|(other, _)| *other != host)
            .map(|(other, member)| {
                let is_other_region = member.session.row().place.region() != place.region();
                let score = rendezvous::score(host.as_str(), other.as_str());
                (is_other_region, Reverse(score), other)
            })
            .collect();
        others.sort_unstable();
        others.truncate(self.monitor_count);
        others.into_iter().map(|(_, _, other)| other).collect()
    }

    /// Returns the daemons that the local daemon monitors.
    #[must_use]
    pub fn monitored(&self) -> Vec<name::HostName> {
        let peers = self.peers().map(|(host, _)| host);
        peers.filter(|host| self.monitors_of(host).contains(&&self.local)).cloned().collect()
    }

    /// Records whether a monitor suspects a daemon; returns whether the majority verdict changed.
    pub fn record_suspicion(
        &mut self,
        suspect: &lease::Holder,
        monitor: &name::HostName,
        is_suspected: bool,
    ) -> bool {
        let before = self.is_suspected(&suspect.host);
        let Some(member) = self.members.get_mut(&suspect.host) else {
            return false;
        };
        if is_suspected {
            member.suspected_by.insert(monitor.clone(), suspect.incarnation);
        } else {
            member.suspected_by.swap_remove(monitor);
        }
        before != self.is_suspected(&suspect.host)
    }

    /// Returns whether more than half of a daemon's monitors suspect it.
    ///
    /// A majority is required because a single monitor may itself be partitioned.
    #[must_use]
    pub fn is_suspected(&self, host: &name::HostName) -> bool {
        let Some(member) = self.members.get(host) else {
            return false;
        };
        if member.suspected_by.is_empty() {
            return false;
        }
        let incarnation = member.session.row().incarnation;
        let monitors = self.monitors_of(host);
        let suspecting = monitors.iter().filter(|monitor| {
            member.suspected_by.get(**monitor).is_some_and(|suspected| *suspected == incarnation)
        });
        2 * suspecting.count() > monitors.len()
    }
}
