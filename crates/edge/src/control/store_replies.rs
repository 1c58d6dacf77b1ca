//! Replies of the store to jobs on lease and holder rows.

use std::sync::Arc;

use jasminetack_domain::placement;

use super::StoreReply;
use super::control_state::ControlState;
use crate::dialect;

impl<Dialect> ControlState<Dialect>
where
    Dialect: dialect::Dialect,
{
    pub(super) fn handle_store_reply(&mut self, reply: StoreReply, now_ms: u64) {
        match reply {
            StoreReply::Rows { leases: Ok(leases), holders: Ok(holders), sent_ms } => {
                let held = self.assignments.iter().map(|(worker, _)| worker);
                let job = self.lease_manager.apply_rows(leases, holders, held, sent_ms, now_ms);
                if let Some(job) = job {
                    self.outputs.queue_store_job(job);
                }
                self.update_peers(now_ms);
                self.drop_lost_assignments(now_ms);
                for job in self.lease_manager.due_jobs(now_ms) {
                    self.outputs.queue_store_job(job);
                }
            }
            StoreReply::Rows { .. } => self.lease_manager.record_read_failure(now_ms),
            StoreReply::Renewed(result, sent_ms) => {
                if let Some(job) = self.lease_manager.apply_renewal(result, sent_ms, now_ms) {
                    self.outputs.queue_store_job(job);
                }
                self.drop_lost_assignments(now_ms);
            }
            StoreReply::Claimed(worker, era, result) => {
                let claim = self.lease_manager.apply_claim(&worker, era, result, now_ms);
                self.drop_lost_assignments(now_ms);
                let Some((fencing_token, was_held)) = claim else { return };
                let Some(upstream) = self.catalog.directory().get(&worker) else { return };
                self.removed_workers.remove(&worker);
                let unrecorded = placement::UnrecordedOrders::after_claim(
                    was_held,
                    upstream.started_unix_ms,
                    self.lease_manager.unix_ms(self.started_unix_ms, now_ms),
                    now_ms,
                );
                self.assignments.add(Arc::clone(upstream), fencing_token, unrecorded);
                self.changed_workers.insert(worker);
            }
            StoreReply::Quarantine(reply) => self.handle_quarantine_reply(reply, now_ms),
            StoreReply::Written(result) => {
                if let Err(error) = result {
                    spdlog::warn!("write-failed error={error:?}");
                }
                self.confirm_release();
            }
        }
    }

    pub(super) fn update_peers(&mut self, now_ms: u64) {
        let own = self.lease_manager.host().clone();
        let mut listed = Vec::new();
        let mut is_new = false;
        for row in self.lease_manager.leases() {
            if row.host == own {
                continue;
            }
            listed.push(row.host.clone());
            is_new |= self.peers.add_from_lease(row);
        }
        self.peers.retain_listed(&listed, now_ms);
        self.slots.retain_hosts(|host| self.peers.get(host).is_some());
        if is_new {
            // Daemons that know this one send it their states with their next reports.
            let state = self.daemon_state(None, now_ms);
            let receivers = self.peers.addresses(|_| true);
            self.send_state(state, receivers);
        }
    }

    /// Removes assignments that the holder rows contradict, and all of them if the store was restored and the
    /// lease ended before the rows were in it.
    pub(super) fn drop_lost_assignments(&mut self, now_ms: u64) {
        let may_keep_workers = self.lease_manager.may_keep_workers(now_ms);
        let lost = self
            .assignments
            .iter()
            .filter(|(worker, _)| !may_keep_workers || self.lease_manager.is_taken_over(worker));
        let lost: Vec<_> = lost.map(|(worker, _)| worker.clone()).collect();
        let reason = if may_keep_workers { "taken-over" } else { "store-restored" };
        for worker in &lost {
            self.assignments.remove(worker, reason);
        }
        self.changed_workers.extend(lost);
    }
}
