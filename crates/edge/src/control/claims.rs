//! Claims of workers that have no live holder.

use indexmap::IndexMap;
use jasminetack_domain::locality;
use jasminetack_domain::member;
use jasminetack_domain::name;
use jasminetack_domain::placement;
use jasminetack_domain::upstream;

use super::lease_manager::LeaseManager;
use super::peers::Peers;
use super::store_job::StoreJob;
use crate::store;

/// Maximum age of the rows on which a takeover is based.
const MAX_ROWS_AGE_MS: u64 = 900;
/// Delay of a claim for each daemon that ranks before this one.
const RANK_DELAY_MS: u64 = 500;
/// Time after start during which other daemons are discovered before any worker is claimed.
const DISCOVERY_MS: u64 = 1_200;
/// Delay before the next attempt to claim the same worker.
const CLAIM_RETRY_DELAY_MS: u64 = 700;

/// Claim state of a worker without a live holder.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnassignedWorker {
    pub(super) since_ms: u64,
    pub(super) next_ms: u64,
    pub(super) is_claiming: bool,
}

impl LeaseManager {
    /// Returns the claims to attempt now for engine workers without a live holder, or the read of
    /// the rows that must precede them.
    pub fn claim_jobs<'a, Upstreams>(
        &mut self,
        upstreams: Upstreams,
        own_count: usize,
        peers: &Peers,
        now_ms: u64,
    ) -> Vec<StoreJob>
    where
        Upstreams: Iterator<Item = &'a upstream::Upstream>,
    {
        if !self.may_send_orders(now_ms) || !self.era.may_claim(now_ms) {
            return Vec::new();
        }
        let has_discovered_peers = now_ms.saturating_sub(self.started_ms) >= DISCOVERY_MS;
        let mut jobs = Vec::new();
        let mut unassigned = IndexMap::new();
        for upstream in upstreams {
            let worker = &upstream.name;
            let holder = peers.holder(worker);
            if holder.is_some_and(|(_, peer, _, _)| peer.is_live(now_ms) && !peer.is_leaving) {
                continue;
            }
            let new = UnassignedWorker { since_ms: now_ms, next_ms: now_ms, is_claiming: false };
            let mut unassigned_worker = self.unassigned.get(worker).copied().unwrap_or(new);
            let own = self.holders.is_own(worker);
            // A restarted daemon claims its own workers again at once.
            if !own && !has_discovered_peers {
                continue;
            }
            let rank = if own { 0 } else { self.rank(upstream, own_count, peers, now_ms) };
            let due_ms =
                unassigned_worker.next_ms.max(unassigned_worker.since_ms + rank * RANK_DELAY_MS);
            if !unassigned_worker.is_claiming && now_ms >= due_ms {
                unassigned_worker.next_ms = now_ms + CLAIM_RETRY_DELAY_MS;
                if let Some(job) = self.claim_job(upstream, now_ms) {
                    unassigned_worker.is_claiming = matches!(job, StoreJob::Claim { .. });
                    jobs.push(job);
                }
            }
            unassigned.insert(worker.clone(), unassigned_worker);
        }
        self.unassigned = unassigned;
        jobs
    }

    /// Applies the result of a claim that was decided in an era of the store; if it succeeded, returns the
    /// fencing token and whether a daemon may have held the worker before.
    pub fn apply_claim(
        &mut self,
        worker: &name::WorkerName,
        era: u64,
        result: Result<store::Outcome, store::StoreError>,
        now_ms: u64,
    ) -> Option<(u64, bool)> {
        if let Some(unassigned_worker) = self.unassigned.get_mut(worker) {
            unassigned_worker.is_claiming = false;
        }
        match result {
            Ok(store::Outcome::Committed { version, .. })
                if !self.observe_version(version, now_ms) || self.era.era() != Some(era) =>
            {
                // The claim relied on rows from before a restore, which may have lost the row of a holder.
                self.rows_read_ms = None;
                spdlog::warn!("claim worker={worker} outcome=store-restored");
                None
            }
            Ok(store::Outcome::Committed { version, .. }) => {
                self.unassigned.shift_remove(worker);
                let has_row = self.holders.record_written(worker, version);
                let late_ms = placement::LATE_ORDER_WINDOW_MS;
                Some((version, self.era.may_have_been_held(has_row, late_ms, now_ms)))
            }
            Ok(store::Outcome::Conflict(_)) => {
                self.rows_read_ms = None;
                spdlog::info!("claim worker={worker} outcome=conflict");
                None
            }
            Err(error) => {
                // The claim may have taken effect, so the rows must be read again.
                self.rows_read_ms = None;
                spdlog::warn!("claim worker={worker} outcome=failed error={error:?}");
                None
            }
        }
    }

    /// Returns the number of live daemons that rank before this one as holder of a worker.
    ///
    /// Daemons are ranked by distance to the worker, then by number of held workers, then by
    /// rendezvous score.
    fn rank(
        &self,
        upstream: &upstream::Upstream,
        own_count: usize,
        peers: &Peers,
        now_ms: u64,
    ) -> u64 {
        let worker = upstream.name.as_str();
        let suitability =
            |host: &name::HostName, locality: &locality::Locality, assignments: usize| {
                let score = member::rendezvous::score(worker, host.as_str());
                (locality.distance(&upstream.locality), assignments, std::cmp::Reverse(score))
            };
        let own = suitability(&self.identity.host, &self.identity.locality, own_count);
        let better = peers.iter().filter(|(host, peer)| {
            peer.is_live(now_ms)
                && !peer.is_leaving
                && suitability(host, &peer.locality, peer.assignments.len()) < own
        });
        u64::try_from(better.count()).unwrap_or(u64::MAX)
    }

    /// Returns the claim of a worker, or the read of the rows that must precede it.
    fn claim_job(&mut self, upstream: &upstream::Upstream, now_ms: u64) -> Option<StoreJob> {
        let worker = &upstream.name;
        let age_ms = self.rows_read_ms.map(|read_ms| now_ms.saturating_sub(read_ms));
        let is_fresh = age_ms.is_some_and(|age_ms| age_ms <= MAX_ROWS_AGE_MS);
        // Without a known holder, stale rows do no harm: the claim fails with a conflict.
        let holder = self.holders.host(worker);
        if !is_fresh && holder.is_some() {
            return self.read_rows_job();
        }
        let mut conditions = Vec::new();
        if let Some(holder) = holder.filter(|holder| **holder != self.identity.host) {
            let lease = self.leases.get(holder);
            let is_free = lease.is_none_or(|(row, _)| {
                row.can_be_taken_over(self.times.guard_ms, self.rows_store_ms)
            });
            if !is_free {
                return None;
            }
            conditions.push(store::Condition {
                table: store::Table::Leases,
                key: holder.to_string(),
                version: lease.map_or(0, |(_, version)| *version),
            });
        }
        let mut transaction = store::Transaction { conditions, writes: Vec::new() };
        self.holders.add_write(&mut transaction, worker);
        let era = self.era.era()?;
        Some(StoreJob::Claim { worker: worker.clone(), era, transaction })
    }
}
