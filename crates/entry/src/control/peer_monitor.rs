//! PeerMonitor over the daemons that this daemon monitors, and over sessions that nobody monitors.

use indexmap::{IndexMap, IndexSet};
use jasminetack_domain::lease;
use jasminetack_domain::member;
use jasminetack_domain::name;

/// Gap between two judgements that shows that this daemon itself was paused.
const LOCAL_PAUSE_MS: u64 = 1_000;

/// Watches other daemons with one kind of detector.
pub struct PeerMonitor<Detector> {
    prototype: Detector,
    monitored: IndexMap<name::HostName, Monitored<Detector>>,
    /// Suspicions of daemons that are no longer monitored, to be withdrawn.
    withdrawn: Vec<lease::Holder>,
    checked_ms: u64,
    /// Sessions whose lapse is being written.
    lapsing: IndexSet<name::HostName>,
    /// Version of each session and since when successful reads have shown it unchanged_since.
    unchanged_since: IndexMap<name::HostName, (u64, u64)>,
}

struct Monitored<Detector> {
    detector: Detector,
    incarnation: lease::Incarnation,
    sequence: u64,
    suspected: bool,
}

impl<Detector> PeerMonitor<Detector>
where
    Detector: member::Detector,
{
    /// Creates a watch over nobody, with the detector whose settings all others get.
    pub fn new(prototype: Detector) -> Self {
        Self {
            prototype,
            monitored: IndexMap::new(),
            withdrawn: Vec::new(),
            checked_ms: 0,
            lapsing: IndexSet::new(),
            unchanged_since: IndexMap::new(),
        }
    }

    /// Follows a change of the membership.
    pub fn update_members(&mut self, members: &member::Membership, now_ms: u64) {
        let hosts = members.monitored();
        for (host, monitored) in &self.monitored {
            if monitored.suspected && !hosts.contains(host) {
                let incarnation = monitored.incarnation;
                self.withdrawn.push(lease::Holder { host: host.clone(), incarnation });
            }
        }
        self.monitored.retain(|host, _| hosts.contains(host));
        for host in hosts {
            let Some(member) = members.get(&host) else { continue };
            let incarnation = member.session().row().incarnation;
            if self.monitored.get(&host).is_some_and(|known| known.incarnation == incarnation) {
                continue;
            }
            let detector = self.prototype.restarted(now_ms);
            let monitored = Monitored { detector, incarnation, sequence: 0, suspected: false };
            self.monitored.insert(host, monitored);
        }
    }

    /// Records a heartbeat; repeated sequence numbers are no new sign of life for the detector.
    pub fn record_heartbeat(&mut self, sender: &lease::Holder, sequence: u64, now_ms: u64) {
        let Some(monitored) = self.monitored.get_mut(&sender.host) else { return };
        if monitored.incarnation == sender.incarnation && sequence > monitored.sequence {
            monitored.sequence = sequence;
            monitored.detector.record_heartbeat(now_ms);
        }
    }

    /// Lists the daemons of which the own verdict changed, with the new verdict.
    pub fn suspicion_changes(&mut self, now_ms: u64) -> Vec<(lease::Holder, bool)> {
        if now_ms > self.checked_ms + LOCAL_PAUSE_MS {
            // The heartbeats of the meantime still wait to be read.
            for monitored in self.monitored.values_mut() {
                monitored.detector = monitored.detector.restarted(now_ms);
            }
        }
        self.checked_ms = now_ms;
        let withdrawn = std::mem::take(&mut self.withdrawn).into_iter();
        let mut changes: Vec<_> = withdrawn.map(|daemon| (daemon, false)).collect();
        for (host, monitored) in &mut self.monitored {
            let suspected = monitored.detector.suspects(now_ms);
            if suspected == monitored.suspected {
                continue;
            }
            monitored.suspected = suspected;
            let incarnation = monitored.incarnation;
            changes.push((lease::Holder { host: host.clone(), incarnation }, suspected));
        }
        changes
    }

    /// Records a successful read of all sessions.
    pub fn record_sessions_read(&mut self, members: &member::Membership, now_ms: u64) {
        for (host, member) in members.peers() {
            let version = member.session().version();
            let entry = self.unchanged_since.entry(host.clone()).or_insert((version, now_ms));
            if entry.0 != version {
                *entry = (version, now_ms);
            }
        }
    }

    /// Records that the sessions could not be read.
    ///
    /// While the platform is out, no daemon can renew its session, so that the time does not count.
    pub fn record_read_failure(&mut self) {
        self.unchanged_since.clear();
    }

    /// Prepares the lapse of each session that expired.
    ///
    /// A suspected daemon's session expires after `ttl_ms`. Any other session expires after
    /// `unwatched_ttl_ms` of successful reads without a renewal, in case all of its monitors failed
    /// with it; heartbeats do not count for it, so a daemon that is cut off from the platform alone
    /// keeps its workers as long as a monitor hears it.
    pub fn prepare_lapses(
        &mut self,
        members: &member::Membership,
        now_ms: u64,
        ttl_ms: u64,
        unwatched_ttl_ms: u64,
    ) -> Vec<lease::SessionWrite> {
        let mut writes = Vec::new();
        for (host, member) in members.peers() {
            if self.lapsing.contains(host) {
                continue;
            }
            let ttl_ms = match self.monitored.get(host) {
                Some(monitored) if monitored.suspected => ttl_ms,
                Some(_) => continue,
                None => {
                    let Some((version, since_ms)) = self.unchanged_since.get(host) else {
                        continue;
                    };
                    let is_unchanged = *version == member.session().version();
                    if !is_unchanged || now_ms < since_ms + unwatched_ttl_ms {
                        continue;
                    }
                    unwatched_ttl_ms
                }
            };
            if let Some(write) = member.session().lapse(now_ms, ttl_ms) {
                self.lapsing.insert(host.clone());
                writes.push(write);
            }
        }
        writes
    }

    /// Records that the write of a lapse ended.
    pub fn finish_lapse(&mut self, host: &name::HostName) {
        self.lapsing.swap_remove(host);
    }
}
