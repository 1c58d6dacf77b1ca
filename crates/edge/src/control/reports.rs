//! Reports of this daemon's state to the others.

use std::net::SocketAddr;

use indexmap::IndexMap;
use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use jasminetack_wire::fleet;

use super::core::Core;
use super::freshness::Freshness;
use super::outputs::Letter;
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
    /// Tells other daemons the load and the adapters of this one.
    pub fn report(&mut self, now_ms: u64) {
        let loads = self.take_loads(now_ms);
        let state = self.state(Some(loads));
        let is_far_due = now_ms.saturating_sub(self.reported_far_ms) >= self.far_interval_ms();
        if is_far_due {
            self.reported_far_ms = now_ms;
        }
        let region = self.tenancy.identity().place.region().clone();
        let is_used = |peer: &Peer| {
            let mut workers = state.loads.iter().filter(|load| !load.adapters.is_empty());
            workers.any(|load| peer.holds.contains_key(load.worker.as_str()))
        };
        // The holder of a worker must know which adapters are in use there.
        let to = self
            .peers
            .addresses(|peer| is_far_due || *peer.place.region() == region || is_used(peer));
        self.send_state(state, to);
    }

    /// Returns the interval of reports: longer in regions with many daemons, since each of them
    /// reports to all others.
    pub fn report_interval_ms(&self) -> u64 {
        let scaled = REPORT_MS * u64::try_from(self.near_peers()).unwrap_or(u64::MAX) / FEW_DAEMONS;
        scaled.clamp(REPORT_MS, MAX_REPORT_MS)
    }

    /// Returns the number of other daemons of the region.
    pub(super) fn near_peers(&self) -> usize {
        let region = self.tenancy.identity().place.region();
        self.peers.iter().filter(|(_, peer)| peer.place.region() == region).count()
    }

    /// Returns the interval of reports to daemons of other regions.
    pub(super) fn far_interval_ms(&self) -> u64 {
        let all = u64::try_from(self.peers.len()).unwrap_or(u64::MAX);
        (FAR_REPORT_MS * all / MANY_DAEMONS).clamp(FAR_REPORT_MS, MAX_FAR_REPORT_MS)
    }

    /// Takes this daemon's load for the next report and counts the adapters in use.
    pub(super) fn take_loads(&mut self, now_ms: u64) -> Vec<fleet::Load> {
        let mut chooser = self.chooser.lock();
        let mut loads = Vec::new();
        let mut own_uses: IndexMap<name::WorkerName, Vec<(name::AdapterName, u32)>> =
            IndexMap::new();
        let reported = chooser.loads.report();
        let mut workers = chooser.loads.workers_in_use();
        workers.extend(reported.iter().map(|load| load.worker.clone()));
        workers.sort();
        workers.dedup();
        for worker in workers {
            let uses = chooser.loads.take_adapter_uses(&worker);
            let load = reported.iter().find(|load| load.worker == worker);
            let idle =
                dispatch::ReportedLoad { worker: worker.clone(), in_flight: 0, unread_tokens: 0 };
            loads.push(fleet::Load::new(load.unwrap_or(&idle), &uses));
            if let Some(hold) = self.holds.get_mut(&worker) {
                for (adapter, used) in &uses {
                    *hold.begun.entry(adapter.clone()).or_default() += used.begun;
                }
            }
            let in_flight = uses.into_iter().map(|(adapter, used)| (adapter, used.in_flight));
            own_uses.insert(worker, in_flight.collect());
        }
        drop(chooser);
        for (worker, hold) in self.holds.iter_mut() {
            let peers = self.peers.iter().filter(|(_, peer)| peer.is_live(now_ms));
            let others = peers.filter_map(|(_, peer): (_, &Peer)| peer.uses.get(worker));
            let mut in_flight: IndexMap<name::AdapterName, u32> = IndexMap::new();
            for (adapter, count) in others.chain(own_uses.get(worker)).flatten() {
                *in_flight.entry(adapter.clone()).or_default() += count;
            }
            hold.apply_uses(&in_flight, now_ms);
        }
        loads
    }

    pub(super) fn state(&self, loads: Option<Vec<fleet::Load>>) -> fleet::State {
        let identity = self.tenancy.identity();
        let holds = self.holds.iter();
        let holds =
            holds.map(|(worker, hold)| fleet::Hold::new(worker, hold.fence, &hold.summary()));
        fleet::State {
            address: identity.address.to_string(),
            region: identity.place.region().to_string(),
            failure_domain: identity.place.failure_domain().to_string(),
            is_leaving: self.tenancy.is_released(),
            interval_ms: self.far_interval_ms(),
            has_loads: loads.is_some(),
            loads: loads.unwrap_or_default(),
            holds: holds.collect(),
            operator: table_state(&self.operator, self.catalog.operator_digest()),
            workers: table_state(&self.workers, self.catalog.directory().digest()),
        }
    }

    pub(super) fn send_state(&mut self, state: fleet::State, to: Vec<SocketAddr>) {
        let datagram = self.next_datagram(Some(state), Vec::new());
        self.outputs.send(Letter { to, datagram });
    }

    pub(super) fn next_datagram(
        &mut self,
        state: Option<fleet::State>,
        demands: Vec<fleet::Demand>,
    ) -> fleet::Datagram {
        self.sequence += 1;
        fleet::Datagram {
            host: self.tenancy.host().to_string(),
            started_unix_ms: self.started_unix_ms,
            sequence: self.sequence,
            state,
            demands,
            operator_rows: Vec::new(),
            workers_rows: Vec::new(),
            use_changes: Vec::new(),
        }
    }
}

fn table_state(freshness: &Freshness, digest: u64) -> Option<fleet::TableState> {
    let as_of_store_ms = freshness.as_of_store_ms()?;
    Some(fleet::TableState { digest, as_of_store_ms })
}
