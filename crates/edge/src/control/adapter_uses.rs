//! Adapter uses, reported to the holders of the workers as they start and end.

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
    /// Notifies the holder of a worker that this daemon started or stopped using an adapter on it.
    ///
    /// The next report repeats the information, so a lost datagram is not retransmitted.
    pub(super) fn handle_use_change(
        &mut self,
        worker: &name::WorkerName,
        adapter: &name::AdapterName,
        is_used: bool,
        now_ms: u64,
    ) {
        if self.assignments.get(worker).is_some() {
            self.refresh_use(worker, adapter, now_ms);
            return;
        }
        let Some((_, peer, _, _)) = self.peers.holder(worker) else { return };
        let receivers = vec![peer.address];
        let mut datagram = self.next_datagram(None, Vec::new());
        let (worker, adapter) = (worker.to_string(), adapter.to_string());
        datagram.use_changes.push(fleet::UseChange { worker, adapter, is_used });
        self.outputs.queue_datagram(OutgoingDatagram { receivers, datagram });
    }

    /// Applies the adapter uses that another daemon reported.
    pub(super) fn apply_peer_uses(&mut self, datagram: &fleet::Datagram, now_ms: u64) {
        let host = name::HostName::from(datagram.host.as_str());
        for uses in &datagram.uses {
            self.peers.apply_uses(&host, uses, now_ms);
            let worker = name::WorkerName::from(uses.worker.as_str());
            let Some(assignment) = self.assignments.get_mut(&worker) else { continue };
            for used in uses.adapters.iter().filter(|used| used.started > 0) {
                let adapter = name::AdapterName::from(used.adapter.as_str());
                *assignment.started_requests.entry(adapter).or_default() += used.started;
            }
        }
        for change in &datagram.use_changes {
            self.peers.apply_use_change(&host, change, now_ms);
            let worker = name::WorkerName::from(change.worker.as_str());
            let adapter = name::AdapterName::from(change.adapter.as_str());
            self.refresh_use(&worker, &adapter, now_ms);
        }
    }

    fn refresh_use(&mut self, worker: &name::WorkerName, adapter: &name::AdapterName, now_ms: u64) {
        let Some(assignment) = self.assignments.get_mut(worker) else { return };
        let Some(placement) = &mut assignment.placement else { return };
        let own = self.chooser.lock().loads.adapter_in_flight(worker, adapter);
        let others = self.peers.uses(worker, now_ms).filter(|(used, _)| used == adapter);
        let in_flight = own + others.map(|(_, in_flight)| in_flight).sum::<u32>();
        placement.record_use(adapter, dispatch::AdapterUse { in_flight, started: 0 }, now_ms);
    }
}
