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
                if let Some(job) = self.lease_manager.apply_rows(leases, holders, sent_ms) {
                    self.outputs.queue_store_job(job);
                }
                self.update_peers(now_ms);
                self.drop_lost_assignments();
                for job in self.lease_manager.due_jobs(now_ms) {
                    self.outputs.queue_store_job(job);
                }
            }
            StoreReply::Rows { .. } => self.lease_manager.record_read_failure(now_ms),
            StoreReply::Renewed(result, sent_ms) => {
                if let Some(job) = self.lease_manager.apply_renewal(result, sent_ms, now_ms) {
                    self.outputs.queue_store_job(job);
                }
            }
            StoreReply::Claimed(worker, result) => {
                let claim = self.lease_manager.apply_claim(&worker, result);
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

    /// Removes assignments that the holder rows contradict.
    pub(super) fn drop_lost_assignments(&mut self) {
        let own = self.lease_manager.host().clone();
        let lost = self.assignments.iter().filter(|(worker, assignment)| {
            let holder = self.lease_manager.holder(worker);
            holder.is_some_and(|(host, fencing_token)| {
                fencing_token > assignment.fencing_token || *host != own
            })
        });
        let lost: Vec<_> = lost.map(|(worker, _)| worker.clone()).collect();
        for worker in &lost {
            self.assignments.remove(worker, "taken-over");
        }
        self.changed_workers.extend(lost);
    }
}
