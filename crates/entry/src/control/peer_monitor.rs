//! Failure detection for the monitored daemons, and expiry of sessions.

use indexmap::{IndexMap, IndexSet};
use jasminetack_domain::lease;
use jasminetack_domain::member;
use jasminetack_domain::name;

/// Time between two checks beyond which this daemon itself must have been paused.
const LOCAL_PAUSE_MS: u64 = 1_000;

/// Monitors other daemons, each with its own failure detector.
pub struct PeerMonitor<Detector> {
    prototype: Detector,
    monitored: IndexMap<name::HostName, Monitored<Detector>>,
    /// Suspected daemons that are no longer monitored; their suspicions are to be withdrawn.
    withdrawn: Vec<lease::Holder>,
    checked_ms: u64,
    /// Sessions whose lapse is being written.
    lapsing: IndexSet<name::HostName>,
    /// Version of each session row, and the time of the first read that returned it.
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
    /// Creates a monitor without peers; `prototype` has the settings for all detectors.
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

    /// Starts and stops monitoring after a change of the membership.
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

    /// Records a heartbeat; the detector ignores repeated sequence numbers.
    pub fn record_heartbeat(&mut self, sender: &lease::Holder, sequence: u64, now_ms: u64) {
        let Some(monitored) = self.monitored.get_mut(&sender.host) else { return };
        if monitored.incarnation == sender.incarnation && sequence > monitored.sequence {
            monitored.sequence = sequence;
            monitored.detector.record_heartbeat(now_ms);
        }
    }

    /// Returns the daemons that are newly suspected (`true`) or no longer suspected (`false`).
    pub fn suspicion_changes(&mut self, now_ms: u64) -> Vec<(lease::Holder, bool)> {
        if now_ms > self.checked_ms + LOCAL_PAUSE_MS {
            // Heartbeats that arrived during the pause have not been processed yet.
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

    /// Records a successful read of all session rows.
    pub fn record_sessions_read(&mut self, members: &member::Membership, now_ms: u64) {
        for (host, member) in members.peers() {
            let version = member.session().version();
            let entry = self.unchanged_since.entry(host.clone()).or_insert((version, now_ms));
            if entry.0 != version {
                *entry = (version, now_ms);
            }
        }
    }

    /// Records that the session rows could not be read.
    ///
    /// During a platform outage no daemon can renew its session, so the expiry of unmonitored
    /// sessions is measured anew afterwards.
    pub fn record_read_failure(&mut self) {
        self.unchanged_since.clear();
    }

    /// Prepares the writes that mark expired sessions as lapsed.
    ///
    /// The session of a monitored daemon expires `ttl_ms` after its last renewal, and only while
    /// this daemon suspects it: a monitor that receives the heartbeats of a daemon does not mark it
    /// as lapsed when that daemon is cut off only from the platform. A session that this daemon
    /// does not monitor expires after `unmonitored_ttl_ms` of successful reads without a renewal,
    /// in case all of its monitors failed too; heartbeats do not count for it.
    pub fn prepare_lapses(
        &mut self,
        members: &member::Membership,
        now_ms: u64,
        ttl_ms: u64,
        unmonitored_ttl_ms: u64,
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
                    if !is_unchanged || now_ms < since_ms + unmonitored_ttl_ms {
                        continue;
                    }
                    unmonitored_ttl_ms
                }
            };
            if let Some(write) = member.session().lapse(now_ms, ttl_ms) {
                self.lapsing.insert(host.clone());
                writes.push(write);
            }
        }
        writes
    }

    /// Records that the write of a lapse finished.
    pub fn finish_lapse(&mut self, host: &name::HostName) {
        self.lapsing.swap_remove(host);
    }
}
