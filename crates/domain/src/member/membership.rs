//! The daemons of the fleet.

use std::cmp::Reverse;

use indexmap::IndexMap;

use super::{Member, rendezvous};
use crate::lease;
use crate::locality;
use crate::name;

/// All daemons that are known, this one included.
#[derive(Clone, Debug)]
pub struct Membership {
    own: name::HostName,
    monitor_count: usize,
    members: IndexMap<name::HostName, Member>,
}

impl Membership {
    /// Creates a membership that knows nobody.
    #[must_use]
    pub fn new(own: name::HostName, monitor_count: usize) -> Self {
        Self { own, monitor_count, members: IndexMap::new() }
    }

    /// Records a session row; returns whether the daemon's state or incarnation changed.
    pub fn observe(&mut self, stored: lease::Stored<lease::SessionRow>, now_ms: u64) -> bool {
        let host = stored.row.host.clone();
        let Some(member) = self.members.get_mut(&host) else {
            let session = lease::Observer::new(stored, now_ms);
            self.members.insert(host, Member { session, accusers: IndexMap::new() });
            return true;
        };
        let before = (member.session.row().incarnation, member.session.row().state);
        member.session.saw(stored, now_ms);
        let after = (member.session.row().incarnation, member.session.row().state);
        if before.0 != after.0 {
            member.accusers.clear();
        }
        before != after
    }

    /// Records a daemon's word that it renewed its present incarnation at a version.
    pub fn heard(&mut self, holder: &lease::Holder, version: u64, now_ms: u64) {
        let Some(member) = self.members.get_mut(&holder.host) else { return };
        if member.session.row().incarnation == holder.incarnation {
            member.session.heard(version, now_ms);
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
        self.members.get(host).map(|member| member.session.seen())
    }

    /// Lists the daemons whose sessions hold, this one included.
    pub fn holding(&self) -> impl Iterator<Item = (&name::HostName, &Member)> {
        self.members.iter().filter(|(_, member)| member.holds())
    }

    /// Lists the other daemons whose sessions hold.
    pub fn peers(&self) -> impl Iterator<Item = (&name::HostName, &Member)> {
        self.holding().filter(|(host, _)| **host != self.own)
    }

    /// Lists the daemons that may own workers, with their places.
    pub fn candidates(&self) -> impl Iterator<Item = (&name::HostName, &locality::Locality)> {
        let live = self.members.iter().filter(|(_, member)| member.is_live());
        live.map(|(host, member)| (host, &member.session.row().place))
    }

    /// Lists the monitors of a daemon: the first in rendezvous order within its region, filled up
    /// from other regions where its own has too few.
    #[must_use]
    pub fn monitors_of(&self, host: &name::HostName) -> Vec<&name::HostName> {
        let Some(place) = self.members.get(host).map(|member| &member.session.row().place) else {
            return Vec::new();
        };
        let mut others: Vec<_> = self
            .holding()
            .filter(|(other, _)| *other != host)
            .map(|(other, member)| {
                let elsewhere = member.session.row().place.region() != place.region();
                let score = rendezvous::score(host.as_str(), other.as_str());
                (elsewhere, Reverse(score), other)
            })
            .collect();
        others.sort_unstable();
        others.truncate(self.monitor_count);
        others.into_iter().map(|(_, _, other)| other).collect()
    }

    /// Lists the daemons that this daemon monitors.
    #[must_use]
    pub fn monitored(&self) -> Vec<name::HostName> {
        let peers = self.peers().map(|(host, _)| host);
        peers.filter(|host| self.monitors_of(host).contains(&&self.own)).cloned().collect()
    }

    /// Records whether a monitor suspects a daemon; returns whether the common verdict changed.
    pub fn accuse(&mut self, accused: &lease::Holder, monitor: &name::HostName, yes: bool) -> bool {
        let before = self.is_suspected(&accused.host);
        let Some(member) = self.members.get_mut(&accused.host) else {
            return false;
        };
        if yes {
            member.accusers.insert(monitor.clone(), accused.incarnation);
        } else {
            member.accusers.swap_remove(monitor);
        }
        before != self.is_suspected(&accused.host)
    }

    /// Tells whether more than half of a daemon's monitors suspect it.
    ///
    /// One monitor may be cut off itself, so its word alone is not enough.
    #[must_use]
    pub fn is_suspected(&self, host: &name::HostName) -> bool {
        let Some(member) = self.members.get(host) else {
            return false;
        };
        if member.accusers.is_empty() {
            return false;
        }
        let incarnation = member.session.row().incarnation;
        let monitors = self.monitors_of(host);
        let accusers = monitors.iter().filter(|monitor| {
            member.accusers.get(**monitor).is_some_and(|accused| *accused == incarnation)
        });
        2 * accusers.count() > monitors.len()
    }
}
