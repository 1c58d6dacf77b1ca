//! Limits that workers state, shared with the other daemons.

use jasminetack_domain::name;
use jasminetack_domain::request_limit;
use jasminetack_wire::fleet;

use super::control_state::ControlState;
use super::outputs::OutgoingDatagram;
use crate::dialect;

/// Most limits in one datagram; the following ones are in the next.
const MAX_LIMITS_PER_DATAGRAM: usize = 128;

impl<Dialect> ControlState<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Tells all daemons of a limit that a response to this daemon has changed.
    pub(super) fn handle_limit_change(
        &mut self,
        worker: &name::WorkerName,
        change: request_limit::LimitChange,
        now_ms: u64,
    ) {
        log_limit_change(worker, change, "own");
        let mut datagram = self.next_datagram(None, Vec::new());
        let chooser = self.chooser.lock();
        let record = chooser.limits.records(now_ms).find(|(known, _)| *known == worker);
        datagram.limits.extend(record.map(|(_, record)| fleet::WorkerLimit::new(worker, record)));
        drop(chooser);
        let receivers = self.peers.addresses(|_| true);
        self.outputs.queue_datagram(OutgoingDatagram { receivers, datagram });
    }

    /// Applies the limits that another daemon knows.
    pub(super) fn apply_peer_limits(&mut self, datagram: &fleet::Datagram, now_ms: u64) {
        for limit in &datagram.limits {
            let worker = name::WorkerName::from(limit.worker.as_str());
            let record = request_limit::LimitRecord::from(limit);
            let change = self.chooser.lock().limits.merge(&worker, &record, now_ms);
            if let Some(change) = change {
                log_limit_change(&worker, change, "peer");
            }
        }
    }

    /// Encodes the limits for other daemons.
    pub(super) fn worker_limits(&self, now_ms: u64) -> Vec<fleet::WorkerLimit> {
        let chooser = self.chooser.lock();
        let records: Vec<_> = chooser.limits.records(now_ms).collect();
        let skipped = match records.len() {
            0..=MAX_LIMITS_PER_DATAGRAM => 0,
            count => self.sequence as usize * MAX_LIMITS_PER_DATAGRAM % count,
        };
        let rotated = records[skipped..].iter().chain(&records[..skipped]);
        let sent = rotated.take(MAX_LIMITS_PER_DATAGRAM);
        sent.map(|(worker, record)| fleet::WorkerLimit::new(worker, record)).collect()
    }

    /// Updates the clock and the daemons by which permits are divided.
    ///
    /// A daemon counts until it has left, or until the store shows that its lease has expired while
    /// nothing is heard of it: a daemon that is cut off from the others must not take their part.
    pub(super) fn update_permit_schedule(&mut self, now_ms: u64) {
        let Some(store_ahead_ms) = self.lease_manager.store_clock().ahead_ms(now_ms) else {
            return;
        };
        let mut chooser = self.chooser.lock();
        chooser.limits.set_store_clock(store_ahead_ms);
        self.metrics
            .limited_workers
            .set(i64::try_from(chooser.limits.limited_count()).unwrap_or(i64::MAX));
        if !self.lease_manager.has_read_rows() {
            return;
        }
        let others = self.peers.iter().filter(|(host, peer)| {
            !peer.is_leaving && (peer.is_live(now_ms) || !self.lease_manager.is_lease_expired(host))
        });
        let others = others.map(|(host, _)| host);
        let schedule = request_limit::PermitSchedule::new(self.lease_manager.host(), others);
        chooser.limits.set_schedule(schedule, now_ms);
    }

    /// Forgets the limits of workers that have left.
    pub(super) fn remove_unlisted_limits(&self, now_ms: u64) {
        let directory = self.catalog.directory();
        let is_listed = |worker: &name::WorkerName| directory.get(worker).is_some();
        self.chooser.lock().limits.remove_unlisted(is_listed, now_ms);
    }
}

fn log_limit_change(
    worker: &name::WorkerName,
    change: request_limit::LimitChange,
    source: &'static str,
) {
    match change {
        request_limit::LimitChange::Limited { limit_per_s } => {
            spdlog::warn!(
                "worker-limited worker={worker} limit_per_s={limit_per_s} source={source}"
            );
        }
        request_limit::LimitChange::Lifted => {
            spdlog::info!("worker-limit-lifted worker={worker} source={source}");
        }
    }
}
