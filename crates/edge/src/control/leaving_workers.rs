//! Workers that stated that they are leaving, shared with the other daemons.

use jasminetack_domain::name;
use jasminetack_wire::fleet;

use super::catalog::CatalogChanges;
use super::control_state::ControlState;
use super::outputs::OutgoingDatagram;
use crate::dialect;

impl<Dialect> ControlState<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Sends no more requests to a worker that told this daemon that it is leaving, and tells all daemons.
    pub(super) fn handle_leaving_worker(
        &mut self,
        worker: &name::WorkerName,
        started_unix_ms: u64,
        now_ms: u64,
    ) {
        if !self.record_leaving_worker(worker, started_unix_ms, "own", now_ms) {
            return;
        }
        let mut datagram = self.next_datagram(None, Vec::new());
        let worker = worker.to_string();
        datagram.leaving.push(fleet::LeavingWorker { worker, started_unix_ms });
        let receivers = self.peers.addresses(|_| true);
        self.outputs.queue_datagram(OutgoingDatagram { receivers, datagram });
    }

    /// Records the workers that told another daemon that they are leaving.
    pub(super) fn apply_peer_leaving(&mut self, datagram: &fleet::Datagram, now_ms: u64) {
        for leaving in &datagram.leaving {
            let worker = name::WorkerName::from(leaving.worker.as_str());
            self.record_leaving_worker(&worker, leaving.started_unix_ms, "peer", now_ms);
        }
    }

    /// Encodes the workers that are leaving for other daemons.
    pub(super) fn leaving_workers(&self, now_ms: u64) -> Vec<fleet::LeavingWorker> {
        let leaving = self.catalog.directory().recently_leaving(now_ms);
        let encode = |(worker, started_unix_ms): (&name::WorkerName, u64)| fleet::LeavingWorker {
            worker: worker.to_string(),
            started_unix_ms,
        };
        leaving.map(encode).collect()
    }

    /// Returns whether the worker had not been known to leave.
    fn record_leaving_worker(
        &mut self,
        worker: &name::WorkerName,
        started_unix_ms: u64,
        source: &'static str,
        now_ms: u64,
    ) -> bool {
        let Some(change) = self.catalog.record_leaving(worker, started_unix_ms, now_ms) else {
            return false;
        };
        spdlog::info!("worker-states-leaving worker={worker} source={source}");
        let changes = CatalogChanges {
            has_changed: true,
            workers: vec![change],
            ..CatalogChanges::default()
        };
        self.apply_catalog_changes(changes, now_ms);
        true
    }
}
