//! Periodic reports of this daemon's state to other daemons.

use std::net::SocketAddr;

use indexmap::IndexMap;
use jasminetack_domain::name;
use jasminetack_wire::fleet;

use super::control_state::ControlState;
use super::freshness::Freshness;
use super::outputs::OutgoingDatagram;
use super::peers::Peer;
use crate::dialect;

/// Minimum interval of reports to daemons of the same region.
const MIN_REPORT_INTERVAL_MS: u64 = 200;
/// Maximum interval of reports to daemons of the same region.
const MAX_REPORT_INTERVAL_MS: u64 = 1_000;
/// Number of other daemons in the region up to which the minimum interval applies.
const MIN_INTERVAL_REGION_PEERS: u64 = 5;
/// Minimum interval of reports to daemons of other regions, where traffic is charged by volume.
const MIN_REMOTE_REPORT_INTERVAL_MS: u64 = 1_000;
/// Maximum interval of reports to daemons of other regions.
const MAX_REMOTE_REPORT_INTERVAL_MS: u64 = 8_000;
/// Number of other daemons in all regions up to which the minimum remote interval applies.
const MIN_REMOTE_INTERVAL_PEERS: u64 = 10;

impl<Dialect> ControlState<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Sends this daemon's state and load to other daemons, and its adapter uses to the holders of
    /// the workers.
    pub fn report(&mut self, now_ms: u64) {
        let uses = self.take_uses(now_ms);
        let loads = self.chooser.lock().loads.report();
        let state =
            self.daemon_state(Some(loads.iter().map(fleet::WorkerLoad::from).collect()), now_ms);
        let is_remote_due =
            now_ms.saturating_sub(self.last_remote_report_ms) >= self.remote_report_interval_ms();
        if is_remote_due {
            self.last_remote_report_ms = now_ms;
        }
        let region = self.lease_manager.identity().locality.region().clone();
        // Holders of workers that this daemon uses get reports as often as daemons of its region.
        let holds_used_worker = |peer: &Peer| {
            let mut workers = uses.iter().map(|used| used.worker.as_str());
            workers.any(|worker| peer.assignments.contains_key(worker))
        };
        let receivers = self.peers.addresses(|peer| {
            is_remote_due || *peer.locality.region() == region || holds_used_worker(peer)
        });
        self.send_worker_statements(&receivers, now_ms);
        self.send_state(state, receivers);
        self.send_uses(uses);
    }

    /// Sends what workers state of themselves to one of the receivers at random.
    ///
    /// All daemons are told of changes at once; this is for those that missed a datagram or have just
    /// started, and costs no more with more daemons.
    fn send_worker_statements(&mut self, receivers: &[SocketAddr], now_ms: u64) {
        let (limits, leaving) = (self.worker_limits(now_ms), self.leaving_workers(now_ms));
        if receivers.is_empty() || limits.is_empty() && leaving.is_empty() {
            return;
        }
        let receivers = vec![receivers[rand::random_range(0..receivers.len())]];
        let mut datagram = self.next_datagram(None, Vec::new());
        (datagram.limits, datagram.leaving) = (limits, leaving);
        self.outputs.queue_datagram(OutgoingDatagram { receivers, datagram });
    }

    fn send_uses(&mut self, uses: Vec<fleet::WorkerUses>) {
        let mut by_holder: IndexMap<SocketAddr, Vec<fleet::WorkerUses>> = IndexMap::new();
        for used in uses {
            let worker = name::WorkerName::from(used.worker.as_str());
            let Some((_, peer, _, _)) = self.peers.holder(&worker) else { continue };
            by_holder.entry(peer.address).or_default().push(used);
        }
        for (address, uses) in by_holder {
            let mut datagram = self.next_datagram(None, Vec::new());
            datagram.uses = uses;
            self.outputs.queue_datagram(OutgoingDatagram { receivers: vec![address], datagram });
        }
    }

    /// Returns the interval of reports to daemons of the same region, which grows with their
    /// number, since each daemon reports to all others.
    pub fn report_interval_ms(&self) -> u64 {
        let scaled = MIN_REPORT_INTERVAL_MS
            * u64::try_from(self.region_peer_count()).unwrap_or(u64::MAX)
            / MIN_INTERVAL_REGION_PEERS;
        scaled.clamp(MIN_REPORT_INTERVAL_MS, MAX_REPORT_INTERVAL_MS)
    }

    /// Returns the number of other daemons of the region.
    pub(super) fn region_peer_count(&self) -> usize {
        let region = self.lease_manager.identity().locality.region();
        self.peers.iter().filter(|(_, peer)| peer.locality.region() == region).count()
    }

    /// Returns the interval of reports to daemons of other regions.
    pub(super) fn remote_report_interval_ms(&self) -> u64 {
        let peers = u64::try_from(self.peers.count()).unwrap_or(u64::MAX);
        let scaled = MIN_REMOTE_REPORT_INTERVAL_MS * peers / MIN_REMOTE_INTERVAL_PEERS;
        scaled.clamp(MIN_REMOTE_REPORT_INTERVAL_MS, MAX_REMOTE_REPORT_INTERVAL_MS)
    }

    /// Takes this daemon's adapter uses since the last report.
    ///
    /// Uses on assigned workers are added to those of other daemons and recorded; uses on workers
    /// of other daemons are returned.
    fn take_uses(&mut self, now_ms: u64) -> Vec<fleet::WorkerUses> {
        let mut chooser = self.chooser.lock();
        let mut own_uses = IndexMap::new();
        for worker in chooser.loads.workers_in_use() {
            let uses = chooser.loads.take_adapter_uses(&worker);
            own_uses.insert(worker, uses);
        }
        drop(chooser);
        for (worker, assignment) in self.assignments.iter_mut() {
            let mut in_flight: IndexMap<name::AdapterName, u32> = IndexMap::new();
            for (adapter, count) in self.peers.uses(worker, now_ms) {
                *in_flight.entry(adapter.clone()).or_default() += count;
            }
            for (adapter, used) in own_uses.swap_remove(worker).into_iter().flatten() {
                *assignment.started_requests.entry(adapter.clone()).or_default() += used.started;
                *in_flight.entry(adapter).or_default() += used.in_flight;
            }
            assignment.apply_uses(&in_flight, now_ms);
        }
        own_uses.iter().map(|(worker, uses)| fleet::WorkerUses::new(worker, uses)).collect()
    }

    /// Returns a state without loads and worker statuses, which reports the state of the tables.
    pub(super) fn table_only_state(&self, now_ms: u64) -> fleet::DaemonState {
        fleet::DaemonState {
            has_worker_statuses: false,
            worker_statuses: Vec::new(),
            ..self.daemon_state(None, now_ms)
        }
    }

    pub(super) fn daemon_state(
        &self,
        loads: Option<Vec<fleet::WorkerLoad>>,
        now_ms: u64,
    ) -> fleet::DaemonState {
        let identity = self.lease_manager.identity();
        let assignments = self.assignments.iter();
        let statuses = assignments.map(|(worker, assignment)| {
            fleet::WorkerStatus::new(worker, assignment.fencing_token, &assignment.summary())
        });
        fleet::DaemonState {
            address: identity.address.to_string(),
            region: identity.locality.region().to_string(),
            failure_domain: identity.locality.failure_domain().to_string(),
            is_leaving: self.lease_manager.is_released(),
            interval_ms: self.remote_report_interval_ms(),
            has_loads: loads.is_some(),
            loads: loads.unwrap_or_default(),
            has_worker_statuses: true,
            worker_statuses: statuses.collect(),
            base_load_limit: self.base_loads.limit().map(fleet::BaseLoadLimit::from),
            operator: table_state(&self.operator, self.catalog.operator_digest()),
            workers: table_state(&self.workers, self.catalog.directory().digest()),
            quarantined: self.quarantined_segments(now_ms),
            cleared: self.cleared_segments(now_ms),
        }
    }

    pub(super) fn send_state(&mut self, state: fleet::DaemonState, receivers: Vec<SocketAddr>) {
        let datagram = self.next_datagram(Some(state), Vec::new());
        self.outputs.queue_datagram(OutgoingDatagram { receivers, datagram });
    }

    pub(super) fn next_datagram(
        &mut self,
        state: Option<fleet::DaemonState>,
        load_requests: Vec<fleet::LoadRequest>,
    ) -> fleet::Datagram {
        self.sequence += 1;
        fleet::Datagram {
            host: self.lease_manager.host().to_string(),
            started_unix_ms: self.started_unix_ms,
            sequence: self.sequence,
            state,
            load_requests,
            ..fleet::Datagram::default()
        }
    }
}

fn table_state(freshness: &Freshness, digest: u64) -> Option<fleet::TableState> {
    let as_of = freshness.as_of()?;
    let read_since_store_ms = freshness.current_series().map(|series| series.since_store_ms);
    Some(fleet::TableState {
        digest,
        as_of_store_ms: as_of.store_ms,
        read_since_store_ms,
        era: as_of.era,
    })
}
