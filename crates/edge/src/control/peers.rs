//! Other daemons, as known from their datagrams and leases.

use std::net::SocketAddr;

use indexmap::IndexMap;
use jasminetack_domain::locality;
use jasminetack_domain::name;
use jasminetack_domain::order_lease;
use jasminetack_domain::placement;
use jasminetack_wire::fleet;
use rustc_hash::FxHashMap;

/// Minimum time without a datagram after which a daemon counts as failed; datagrams may be lost or
/// delayed.
const MIN_FAILURE_TIMEOUT_MS: u64 = 3_500;
/// Age of a worker's status from which an unchanged status updates the published view as well.
const STATUS_REFRESH_MS: u64 = 1_000;
/// Time after which an adapter use that is not confirmed counts as ended.
///
/// It covers several reports, in case the datagram about the end of the use was lost.
const USE_TTL_MS: u64 = 4_000;
/// Report intervals without a datagram after which a daemon counts as failed.
const MAX_MISSED_REPORTS: u64 = 3;

/// Another daemon.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Address that receives datagrams.
    pub address: SocketAddr,
    /// Region and failure domain.
    pub locality: locality::Locality,
    /// Time of the last datagram with a state; `None` if only the lease is known.
    pub received_ms: Option<u64>,
    /// Time at which worker statuses were last received.
    pub statuses_received_ms: Option<u64>,
    /// Whether the daemon is shutting down.
    pub is_leaving: bool,
    /// Workers assigned to the daemon, with their fencing tokens and states.
    pub assignments: IndexMap<name::WorkerName, (u64, placement::Summary)>,
    /// Requests in flight by adapter on workers of the local daemon, and the time of the last
    /// update.
    uses: IndexMap<name::WorkerName, (u64, Vec<(name::AdapterName, u32)>)>,
    /// Adapter loads in flight on the assigned workers.
    loads_in_flight: usize,
    /// Time without a datagram after which the daemon counts as failed.
    pub failure_timeout_ms: u64,
    started_unix_ms: u64,
    sequence: u64,
    /// Start of the daemon and sequence number of the latest datagram, also of those without a state.
    latest_datagram: (u64, u64),
}

impl Peer {
    fn new(address: SocketAddr, locality: locality::Locality) -> Self {
        Self {
            address,
            locality,
            received_ms: None,
            statuses_received_ms: None,
            is_leaving: false,
            assignments: IndexMap::new(),
            uses: IndexMap::new(),
            loads_in_flight: 0,
            failure_timeout_ms: MIN_FAILURE_TIMEOUT_MS,
            started_unix_ms: 0,
            sequence: 0,
            latest_datagram: (0, 0),
        }
    }

    /// Returns whether a datagram was received within the failure timeout.
    pub fn is_live(&self, now_ms: u64) -> bool {
        let silence_ms = self.received_ms.map(|received_ms| now_ms.saturating_sub(received_ms));
        silence_ms.is_some_and(|silence_ms| silence_ms < self.failure_timeout_ms)
    }
}

/// Other daemons by host.
#[derive(Debug, Default)]
pub struct Peers {
    peers: IndexMap<name::HostName, Peer>,
    /// Daemons that claim to hold a worker; usually one.
    holders: FxHashMap<name::WorkerName, Vec<name::HostName>>,
}

impl Peers {
    /// Iterates over the other daemons.
    pub fn iter(&self) -> impl Iterator<Item = (&name::HostName, &Peer)> {
        self.peers.iter()
    }

    /// Returns a daemon.
    pub fn get(&self, host: &name::HostName) -> Option<&Peer> {
        self.peers.get(host)
    }

    /// Returns the number of other daemons.
    pub fn count(&self) -> usize {
        self.peers.len()
    }

    /// Adds a daemon from its lease, or updates its address; returns whether it was added.
    pub fn add_from_lease(&mut self, row: &order_lease::LeaseRow) -> bool {
        if let Some(peer) = self.peers.get_mut(&row.host) {
            peer.address = row.address;
            return false;
        }
        self.peers.insert(row.host.clone(), Peer::new(row.address, row.place.clone()));
        true
    }

    /// Removes daemons that have failed and whose leases are no longer listed.
    pub fn retain_listed(&mut self, listed: &[name::HostName], now_ms: u64) {
        let holders = &mut self.holders;
        self.peers.retain(|host, peer| {
            let is_kept = listed.contains(host) || peer.is_live(now_ms);
            if !is_kept {
                for worker in peer.assignments.keys() {
                    remove_holder(holders, worker, host);
                }
            }
            is_kept
        });
    }

    /// Returns whether a datagram is newer than all others of its sender, as far as the sender is known.
    pub fn observe_datagram(&mut self, datagram: &fleet::Datagram) -> bool {
        let sent = (datagram.started_unix_ms, datagram.sequence);
        let host = name::HostName::from(datagram.host.as_str());
        let Some(peer) = self.peers.get_mut(&host) else { return false };
        let is_newest = sent > peer.latest_datagram;
        peer.latest_datagram = sent.max(peer.latest_datagram);
        is_newest
    }

    /// Applies the state of a daemon.
    ///
    /// Returns the workers whose holder or adapters changed, or `None` if the datagram is not newer
    /// than the last one.
    pub fn apply_state(
        &mut self,
        datagram: &fleet::Datagram,
        state: &fleet::DaemonState,
        address: SocketAddr,
        now_ms: u64,
    ) -> Option<Vec<name::WorkerName>> {
        let host = name::HostName::from(datagram.host.as_str());
        let holders = &mut self.holders;
        let locality = fleet::new_locality(&state.region, &state.failure_domain);
        let new = || Peer::new(address, locality.clone());
        let peer = self.peers.entry(host.clone()).or_insert_with(new);
        let received = (datagram.started_unix_ms, datagram.sequence);
        if received <= (peer.started_unix_ms, peer.sequence) {
            return None;
        }
        (peer.started_unix_ms, peer.sequence) = received;
        peer.address = address;
        peer.locality = locality;
        peer.received_ms = Some(now_ms);
        peer.is_leaving = state.is_leaving;
        peer.failure_timeout_ms =
            (state.interval_ms * MAX_MISSED_REPORTS).max(MIN_FAILURE_TIMEOUT_MS);
        if !state.has_worker_statuses {
            return Some(Vec::new());
        }
        let received_ms = peer.statuses_received_ms.replace(now_ms);
        let status_age_ms =
            received_ms.map_or(u64::MAX, |received_ms| now_ms.saturating_sub(received_ms));
        let mut assignments = IndexMap::with_capacity(state.worker_statuses.len());
        let mut changed = Vec::new();
        for status in &state.worker_statuses {
            let worker = name::WorkerName::from(status.worker.as_str());
            let held = (status.fencing_token, placement::Summary::from(status));
            // A status that had become stale must be published again even if it has not changed.
            if peer.assignments.get(&worker) != Some(&held) || status_age_ms > STATUS_REFRESH_MS {
                changed.push(worker.clone());
            }
            assignments.insert(worker, held);
        }
        for worker in peer.assignments.keys() {
            if !assignments.contains_key(worker) {
                remove_holder(holders, worker, &host);
                changed.push(worker.clone());
            }
        }
        for worker in assignments.keys() {
            if !peer.assignments.contains_key(worker) {
                holders.entry(worker.clone()).or_default().push(host.clone());
            }
        }
        peer.loads_in_flight = assignments.values().map(|(_, summary)| loading(summary)).sum();
        peer.assignments = assignments;
        Some(changed)
    }

    /// Records that a daemon started or stopped using an adapter.
    pub fn apply_use_change(
        &mut self,
        host: &name::HostName,
        change: &fleet::UseChange,
        now_ms: u64,
    ) {
        let Some(peer) = self.peers.get_mut(host) else { return };
        let worker = name::WorkerName::from(change.worker.as_str());
        let (received_ms, uses) = peer.uses.entry(worker).or_default();
        *received_ms = now_ms;
        let count = u32::from(change.is_used);
        match uses.iter_mut().find(|(adapter, _)| adapter.as_str() == change.adapter) {
            Some((_, in_flight)) => *in_flight = count,
            None => uses.push((name::AdapterName::from(change.adapter.as_str()), count)),
        }
    }

    /// Replaces the adapters that a daemon uses on a worker.
    pub fn apply_uses(&mut self, host: &name::HostName, uses: &fleet::WorkerUses, now_ms: u64) {
        let Some(peer) = self.peers.get_mut(host) else { return };
        let worker = name::WorkerName::from(uses.worker.as_str());
        let adapters = uses.adapters.iter();
        let adapters =
            adapters.map(|used| (name::AdapterName::from(used.adapter.as_str()), used.in_flight));
        peer.uses.insert(worker, (now_ms, adapters.collect()));
    }

    /// Iterates over the adapters that other live daemons use on a worker, with their requests in
    /// flight.
    pub fn uses(
        &self,
        worker: &name::WorkerName,
        now_ms: u64,
    ) -> impl Iterator<Item = &(name::AdapterName, u32)> {
        let live = self.peers.values().filter(move |peer| peer.is_live(now_ms));
        let uses = live.filter_map(|peer| peer.uses.get(worker));
        let fresh =
            uses.filter(move |(received_ms, _)| now_ms.saturating_sub(*received_ms) < USE_TTL_MS);
        fresh.flat_map(|(_, uses)| uses)
    }

    /// Returns the daemon that holds a worker with the highest fencing token, that token, and the
    /// worker's state.
    pub fn holder(
        &self,
        worker: &name::WorkerName,
    ) -> Option<(&name::HostName, &Peer, u64, &placement::Summary)> {
        let holders = self.holders.get(worker)?.iter().filter_map(|host| {
            let (_, host, peer) = self.peers.get_full(host)?;
            let (fencing_token, summary) = peer.assignments.get(worker)?;
            Some((host, peer, *fencing_token, summary))
        });
        holders.max_by_key(|(_, _, fencing_token, _)| *fencing_token)
    }

    /// Returns the number of adapter loads in flight on workers of other live daemons.
    pub fn loads_in_flight(&self, now_ms: u64) -> usize {
        let live = self.peers.values().filter(|peer| peer.is_live(now_ms));
        live.map(|peer| peer.loads_in_flight).sum()
    }

    /// Returns the addresses of the daemons that match a predicate.
    pub fn addresses<Predicate>(&self, matches: Predicate) -> Vec<SocketAddr>
    where
        Predicate: Fn(&Peer) -> bool,
    {
        self.peers.values().filter(|peer| matches(peer)).map(|peer| peer.address).collect()
    }
}

/// Returns the number of adapters that a worker is loading.
fn loading(summary: &placement::Summary) -> usize {
    summary.held.iter().filter(|held| held.is_loading).count()
}

fn remove_holder(
    holders: &mut FxHashMap<name::WorkerName, Vec<name::HostName>>,
    worker: &name::WorkerName,
    host: &name::HostName,
) {
    let Some(hosts) = holders.get_mut(worker) else { return };
    hosts.retain(|other| other != host);
    if hosts.is_empty() {
        holders.remove(worker);
    }
}
