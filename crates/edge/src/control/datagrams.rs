//! Handling of datagrams from other daemons and of load requests.

use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use jasminetack_wire::fleet;

use super::control_state::ControlState;
use super::outputs::OutgoingDatagram;
use crate::dialect;

impl<Dialect> ControlState<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Applies a datagram from another daemon.
    pub(super) fn handle_datagram(&mut self, mut datagram: fleet::Datagram, now_ms: u64) {
        if datagram.host == self.lease_manager.host().as_str() {
            return;
        }
        if datagram.concerns_slots() {
            self.apply_slot_messages(&datagram, now_ms);
            return;
        }
        self.apply_shared_rows(&mut datagram, now_ms);
        for request in &datagram.load_requests {
            let worker = name::WorkerName::from(request.worker.as_str());
            let adapter = request.adapter();
            if !self.assignments.add_demand(&worker, request, now_ms) {
                continue;
            }
            let host = name::HostName::from(datagram.host.as_str());
            let Some(assignment) = self.assignments.get_mut(&worker) else { continue };
            if assignment.add_waiting_peer(&adapter, &host) {
                // The sender has not been notified yet that the adapter is usable.
                let receivers =
                    self.peers.get(&host).map(|peer| peer.address).into_iter().collect();
                let state = self.daemon_state(None, now_ms);
                self.send_state(state, receivers);
            }
        }
        self.apply_peer_uses(&datagram, now_ms);
        let is_newest = self.peers.observe_datagram(&datagram);
        self.apply_peer_crashes(&datagram, is_newest, now_ms);
        self.apply_peer_limits(&datagram, now_ms);
        self.apply_peer_leaving(&datagram, now_ms);
        self.apply_peer_quotas(&datagram, now_ms);
        let Some(state) = &datagram.state else { return };
        let address = match fleet::parse_address(&state.address) {
            Ok(address) => address,
            Err(error) => {
                spdlog::warn!("datagram-refused from={} problem=\"{error}\"", datagram.host);
                return;
            }
        };
        let Some(changed) = self.peers.apply_state(&datagram, state, address, now_ms) else {
            return;
        };
        self.apply_peer_quarantine(state, now_ms);
        let host = name::HostName::from(datagram.host.as_str());
        if state.has_loads {
            let loads = state.loads.iter().map(dispatch::ReportedLoad::from).collect();
            let until_ms = self.peers.get(&host).map_or(0, |peer| now_ms + peer.failure_timeout_ms);
            self.chooser.lock().loads.apply_report(&host, loads, until_ms, now_ms);
        }
        if let Some(limit) = state.base_load_limit {
            self.base_loads.observe_limit(limit.into());
        }
        if let Some(known) = state.operator {
            let is_same = known.digest == self.catalog.operator_digest();
            self.operator.apply_peer_state(is_same, known.as_of(), now_ms);
        }
        if let Some(known) = state.workers {
            let is_same_era = known.era == self.workers.read_era();
            if let Some(series) = known.read_series().filter(|_| is_same_era) {
                self.catalog.observe_workers_reads(series);
            }
            let is_same = known.digest == self.catalog.directory().digest();
            self.workers.apply_peer_state(is_same, known.as_of(), now_ms);
        }
        self.changed_workers.extend(changed);
    }

    /// Requests that a worker's holder load an adapter.
    pub(super) fn request_load(
        &mut self,
        worker: &name::WorkerName,
        request: fleet::LoadRequest,
        now_ms: u64,
    ) {
        if self.assignments.add_demand(worker, &request, now_ms) {
            return;
        }
        let Some((_, peer, _, _)) = self.peers.holder(worker) else { return };
        let receivers = vec![peer.address];
        let datagram = self.next_datagram(None, vec![request]);
        self.outputs.queue_datagram(OutgoingDatagram { receivers, datagram });
    }
}
