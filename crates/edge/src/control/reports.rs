//! Reports of this daemon's state to the others.

use std::net::SocketAddr;

use indexmap::IndexMap;
use jasminetack_domain::name;
use jasminetack_wire::fleet;

use super::core::Core;
use super::freshness::Freshness;
use super::outputs::OutgoingDatagram;
use super::peers::Peer;
use crate::dialect;

/// Interval of reports to daemons of the same region while these are few.
const REPORT_MS: u64 = 200;
/// Daemons of a region up to which they are few.
const FEW_DAEMONS: u64 = 5;
/// Interval of reports to daemons of other regions, where bytes are paid by volume, while the
/// daemons are few.
const FAR_REPORT_MS: u64 = 1_000;
/// Longest interval of reports to daemons of the same region.
const MAX_REPORT_MS: u64 = 1_000;
/// Longest interval of reports to daemons of other regions.
const MAX_FAR_REPORT_MS: u64 = 8_000;
/// Daemons of all regions up to which they are few.
const MANY_DAEMONS: u64 = 10;

impl<Dialect> Core<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Tells other daemons the load of this one, and the holders of workers which adapters it uses.
    pub fn report(&mut self, now_ms: u64) {
        let uses = self.take_uses(now_ms);
        let loads = self.chooser.lock().loads.report();
        let state = self.daemon_state(Some(loads.iter().map(fleet::WorkerLoad::from).collect()));
        let is_far_due =
            now_ms.saturating_sub(self.remote_report_ms) >= self.remote_report_interval_ms();
        if is_far_due {
            self.remote_report_ms = now_ms;
        }
        let region = self.lease_manager.identity().locality.region().clone();
        // Daemons that share workers over regions keep each other as well informed as neighbours.
        let is_used = |peer: &Peer| {
            let mut workers = uses.iter().map(|used| used.worker.as_str());
            workers.any(|worker| peer.assignments.contains_key(worker))
        };
        let receivers = self
            .peers
            .addresses(|peer| is_far_due || *peer.locality.region() == region || is_used(peer));
        self.send_state(state, receivers);
        self.send_uses(uses);
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

    /// Returns the interval of reports: longer in regions with many daemons, since each of them
    /// reports to all others.
    pub fn report_interval_ms(&self) -> u64 {
        let scaled =
            REPORT_MS * u64::try_from(self.region_peer_count()).unwrap_or(u64::MAX) / FEW_DAEMONS;
        scaled.clamp(REPORT_MS, MAX_REPORT_MS)
    }

    /// Returns the number of other daemons of the region.
    pub(super) fn region_peer_count(&self) -> usize {
        let region = self.lease_manager.identity().locality.region();
        self.peers.iter().filter(|(_, peer)| peer.locality.region() == region).count()
    }

    /// Returns the interval of reports to daemons of other regions.
    pub(super) fn remote_report_interval_ms(&self) -> u64 {
        let all = u64::try_from(self.peers.len()).unwrap_or(u64::MAX);
        (FAR_REPORT_MS * all / MANY_DAEMONS).clamp(FAR_REPORT_MS, MAX_FAR_REPORT_MS)
    }

    /// Takes this daemon's uses of adapters since the last report, counts those of all daemons at its
    /// own workers, and returns those at workers of others.
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
                *assignment.begun.entry(adapter.clone()).or_default() += used.begun;
                *in_flight.entry(adapter).or_default() += used.in_flight;
            }
            assignment.apply_uses(&in_flight, now_ms);
        }
        own_uses.iter().map(|(worker, uses)| fleet::WorkerUses::new(worker, uses)).collect()
    }

    /// Returns the state that confirms what this daemon knows of the tables, and nothing else.
    pub(super) fn confirmation(&self) -> fleet::DaemonState {
        fleet::DaemonState {
            has_worker_statuses: false,
            worker_statuses: Vec::new(),
            ..self.daemon_state(None)
        }
    }

    pub(super) fn daemon_state(&self, loads: Option<Vec<fleet::WorkerLoad>>) -> fleet::DaemonState {
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
            operator: table_state(&self.operator, self.catalog.operator_digest()),
            workers: table_state(&self.workers, self.catalog.directory().digest()),
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
            operator_rows: Vec::new(),
            workers_rows: Vec::new(),
            use_changes: Vec::new(),
            uses: Vec::new(),
        }
    }
}

fn table_state(freshness: &Freshness, digest: u64) -> Option<fleet::TableState> {
    let as_of_store_ms = freshness.as_of_store_ms()?;
    Some(fleet::TableState { digest, as_of_store_ms })
}
