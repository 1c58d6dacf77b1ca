//! Control state: the daemon's view of the fleet and the decisions based on it.

use std::sync::Arc;

use indexmap::IndexSet;
use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use jasminetack_domain::placement;
use jasminetack_domain::quarantine;
use jasminetack_domain::upstream;
use jasminetack_wire::fleet;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use super::Message;
use super::assignments::Assignments;
use super::catalog::{Catalog, CatalogChanges};
use super::freshness::Freshness;
use super::identity::Identity;
use super::lease_manager::LeaseManager;
use super::lease_times::LeaseTimes;
use super::outputs::Outputs;
use super::peers::Peers;
use super::publisher::Publisher;
use super::quarantine_rows::QuarantineRows;
use super::removed_workers::RemovedWorkers;
use super::slot_state::SlotState;
use super::team_quotas::ShareOwners;
use crate::dialect;
use crate::metrics;
use crate::store;
use crate::team_tokens::TeamTokens;

/// Time without use after which an adapter may be evicted.
///
/// It covers the propagation of two updates: that the adapter was loaded, and then that a request
/// of another daemon uses it.
const MIN_IDLE_MS: u64 = 200;
/// Interval of looking for workers without a live holder.
const CLAIM_INTERVAL_MS: u64 = 100;
/// Interval of publishing a complete view, which drops holders that have stopped reporting.
const FULL_VIEW_INTERVAL_MS: u64 = 1_000;

/// State and decisions of the control thread: everything that is not specific to one request.
pub struct ControlState<Dialect> {
    pub(super) dialect: Arc<Dialect>,
    pub(super) catalog: Catalog,
    pub(super) assignments: Assignments,
    pub(super) base_loads: placement::BaseLoadSchedule,
    pub(super) local_copies: placement::LocalCopies,
    pub(super) removed_workers: RemovedWorkers,
    pub(super) quarantine: quarantine::Quarantine,
    pub(super) slots: SlotState,
    pub(super) quarantine_rows: QuarantineRows,
    pub(super) peers: Peers,
    pub(super) lease_manager: LeaseManager,
    pub(super) operator: Freshness,
    pub(super) workers: Freshness,
    pub(super) unreachable_tables: Vec<store::Table>,
    pub(super) publisher: Publisher,
    pub(super) outputs: Outputs,
    pub(super) chooser: Arc<Mutex<dispatch::Chooser>>,
    pub(super) metrics: Arc<metrics::Metrics>,
    pub(super) team_tokens: Arc<TeamTokens>,
    pub(super) share_owners: ShareOwners,
    pub(super) started_unix_ms: u64,
    pub(super) sequence: u64,
    pub(super) is_shutting_down: bool,
    /// Notified when the lease has been released.
    pub(super) release_waiter: Option<oneshot::Sender<()>>,
    pub(super) last_remote_report_ms: u64,
    pub(super) last_full_view_ms: u64,
    pub(super) next_claims_ms: u64,
    /// Workers whose state has changed since the last published view.
    pub(super) changed_workers: IndexSet<name::WorkerName>,
    pub(super) must_publish_all: bool,
}

impl<Dialect> ControlState<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Creates the state of a daemon that has read nothing yet.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        dialect: Arc<Dialect>,
        identity: Identity,
        times: LeaseTimes,
        publisher: Publisher,
        outputs: Outputs,
        chooser: Arc<Mutex<dispatch::Chooser>>,
        metrics: Arc<metrics::Metrics>,
        started_unix_ms: u64,
        now_ms: u64,
    ) -> Self {
        let team_tokens = TeamTokens::new(identity.host.clone(), started_unix_ms);
        let operator = Freshness::new(&identity.host, store::Table::Operator.as_str());
        let workers = Freshness::new(&identity.host, store::Table::Workers.as_str());
        Self {
            dialect,
            catalog: Catalog::default(),
            assignments: Assignments::default(),
            base_loads: placement::BaseLoadSchedule::default(),
            local_copies: placement::LocalCopies::default(),
            removed_workers: RemovedWorkers::default(),
            quarantine: quarantine::Quarantine::default(),
            slots: SlotState::new(&identity.host, started_unix_ms),
            quarantine_rows: QuarantineRows::default(),
            peers: Peers::default(),
            lease_manager: LeaseManager::new(identity, times, now_ms),
            operator,
            workers,
            unreachable_tables: Vec::new(),
            publisher,
            outputs,
            chooser,
            metrics,
            team_tokens: Arc::new(team_tokens),
            share_owners: ShareOwners::default(),
            started_unix_ms,
            sequence: 0,
            is_shutting_down: false,
            release_waiter: None,
            last_remote_report_ms: 0,
            last_full_view_ms: 0,
            next_claims_ms: 0,
            changed_workers: IndexSet::new(),
            must_publish_all: false,
        }
    }

    /// Handles messages from other threads.
    pub fn receive(&mut self, messages: Vec<Message>, now_ms: u64) {
        let has_others = messages.iter().any(|message| !message.concerns_slots());
        for message in messages {
            self.handle(message, now_ms);
        }
        self.send_slot_messages();
        if !has_others {
            // Slots change neither orders nor the view, and there are several messages per call.
            return;
        }
        self.send_orders(now_ms);
        self.publish_changes(now_ms);
    }

    /// Starts store calls, claims and orders that have become due.
    pub fn tick(&mut self, now_ms: u64) {
        let store_now = self.lease_manager.store_now(now_ms);
        if self.operator.begin_read(store_now, now_ms) {
            self.outputs.request_operator_read();
        }
        if self.workers.begin_read(store_now, now_ms) {
            self.outputs.request_workers_read();
        }
        let changes = self.catalog.expire(now_ms);
        self.apply_catalog_changes(changes, now_ms);
        for job in self.lease_manager.due_jobs(now_ms) {
            self.outputs.queue_store_job(job);
        }
        self.queue_quarantine_jobs(now_ms);
        self.drop_lost_assignments(now_ms);
        for worker in self.removed_workers.take_due(now_ms) {
            if let Some(job) = self.lease_manager.removal_job(&worker) {
                self.outputs.queue_store_job(job);
            }
        }
        if !self.is_shutting_down && now_ms >= self.next_claims_ms {
            self.next_claims_ms = now_ms + CLAIM_INTERVAL_MS;
            self.claim_workers(now_ms);
        }
        if now_ms.saturating_sub(self.last_full_view_ms) >= FULL_VIEW_INTERVAL_MS {
            self.must_publish_all = true;
            self.rank_readers(now_ms);
            self.assignments.log_slot_counts();
            self.remove_unlisted_limits(now_ms);
            self.report_team_shares(now_ms);
            self.chooser.lock().loads.expire(now_ms);
        }
        self.update_quarantine(now_ms);
        self.update_permit_schedule(now_ms);
        self.update_slot_brokers(now_ms);
        self.send_slot_messages();
        self.update_team_quotas(now_ms);
        self.send_orders(now_ms);
        self.publish_changes(now_ms);
    }

    /// Returns whether adapter loads are waiting or in flight, or requests wait for a slot.
    pub fn is_busy(&self) -> bool {
        let has_loads = self.assignments.iter().any(|(_, assignment)| {
            assignment.placement.as_ref().is_some_and(|placement| {
                placement.loads_in_flight() > 0 || placement.summary().waiting_loads > 0
            })
        });
        has_loads || self.has_waiting_slot_requests()
    }

    /// Returns whether requests wait for a slot at a broker on this daemon.
    pub fn has_waiting_slot_requests(&self) -> bool {
        self.slots.waiting_count() > 0
    }

    fn handle(&mut self, message: Message, now_ms: u64) {
        match message {
            Message::TableRead(table, event, started_ms) => {
                self.handle_table_read(table, event, started_ms, now_ms)
            }
            Message::StoreReply(reply) => self.handle_store_reply(reply, now_ms),
            Message::Datagram(datagram) => self.handle_datagram(*datagram, now_ms),
            Message::LoadRequest { worker, adapter, is_missing, is_new } => {
                let request = fleet::LoadRequest {
                    worker: worker.to_string(),
                    adapter: adapter.name().to_string(),
                    version: adapter.version(),
                    is_missing,
                    is_new,
                };
                self.request_load(&worker, request, now_ms);
            }
            Message::AdapterUse { worker, adapter, is_used } => {
                self.handle_use_change(&worker, &adapter, is_used, now_ms);
            }
            Message::WorkerCrashed(crash) => self.handle_worker_crash(&crash, now_ms),
            Message::AnswersSurvived(answers) => self.handle_survived_answers(&answers, now_ms),
            Message::WorkerLeaving { worker, started_unix_ms } => {
                self.handle_leaving_worker(&worker, started_unix_ms, now_ms);
            }
            Message::TeamTokensNeeded => self.send_team_messages(now_ms),
            Message::LimitChanged { worker, change } => {
                self.handle_limit_change(&worker, change, now_ms);
            }
            Message::OrderResult { worker, fencing_token, order, result } => {
                self.metrics.record_order(result.as_str());
                let base_load = self.assignments.apply_order_result(
                    &worker,
                    fencing_token,
                    &order,
                    result,
                    now_ms,
                );
                if let Some((started_ms, others)) = base_load {
                    self.record_base_load(&worker, started_ms, others, now_ms);
                }
            }
            Message::WorkerReport { worker, fencing_token, report } => {
                let ingress = self.catalog.ingress().cloned();
                let result = self.assignments.apply_report(
                    &worker,
                    fencing_token,
                    report,
                    ingress.as_ref(),
                    now_ms,
                );
                self.metrics.record_worker_report(result);
                self.changed_workers.insert(worker);
            }
            Message::SlotAsked(ask) => self.handle_slot_ask(*ask, now_ms),
            Message::SlotUnanswered(number) => self.handle_unanswered_slot_ask(number, now_ms),
            Message::SlotCallStarted { number, pool, worker } => {
                self.handle_slot_call_start(number, pool, worker, now_ms);
            }
            Message::SlotCallEnded { number, end } => {
                self.handle_slot_call_end(number, end, now_ms);
            }
            Message::Shutdown => self.begin_shutdown(),
            Message::ReleaseLease(done) => self.release_lease(done, now_ms),
        }
    }

    pub(super) fn apply_catalog_changes(&mut self, changes: CatalogChanges, now_ms: u64) {
        for change in &changes.workers {
            match change {
                upstream::Change::Joined(upstream) => {
                    let (worker, service) = (&upstream.name, &upstream.service);
                    let address = upstream.address;
                    spdlog::info!(
                        "worker-joined worker={worker} service={service} address={address}"
                    );
                    self.local_copies.record(upstream);
                    self.assignments.apply_entry(upstream, true, now_ms);
                }
                upstream::Change::Updated(upstream) => {
                    if upstream.is_draining {
                        spdlog::info!("worker-draining worker={}", upstream.name);
                    }
                    self.local_copies.record(upstream);
                    self.assignments.apply_entry(upstream, false, now_ms);
                }
                upstream::Change::Left(worker) => self.handle_worker_removal(worker, now_ms),
            }
        }
        for adapter in &changes.versions {
            self.assignments.request_version(adapter, now_ms);
        }
        self.must_publish_all |= changes.has_changed;
        if changes.has_changed {
            let teams = self.catalog.ingress().and_then(|ingress| ingress.teams());
            let count = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
            self.metrics.teams.set(count(teams.map_or(0, |teams| teams.teams().count())));
            self.metrics.team_keys.set(count(teams.map_or(0, |teams| teams.key_count())));
        }
    }

    fn handle_worker_removal(&mut self, worker: &name::WorkerName, now_ms: u64) {
        spdlog::info!("worker-left worker={worker}");
        let mut chooser = self.chooser.lock();
        chooser.health.remove(worker);
        chooser.loads.remove_idle(worker);
        chooser.latencies.remove(worker);
        drop(chooser);
        if self.assignments.remove(worker, "worker-left").is_some() {
            self.removed_workers.insert(worker.clone(), now_ms);
        }
    }

    fn claim_workers(&mut self, now_ms: u64) {
        let Some(ingress) = self.catalog.ingress() else { return };
        let upstreams = self.catalog.directory().iter().map(Arc::as_ref);
        let engines = upstreams.filter(|upstream| {
            let profile = ingress.service(&upstream.service);
            profile.is_some_and(|profile| profile.engine.is_some())
                && !upstream.is_draining
                && self.assignments.get(&upstream.name).is_none()
        });
        let jobs =
            self.lease_manager.claim_jobs(engines, self.assignments.len(), &self.peers, now_ms);
        for job in jobs {
            self.outputs.queue_store_job(job);
        }
    }

    /// Sends the orders that are due, and notifies daemons whose awaited adapters became usable.
    fn send_orders(&mut self, now_ms: u64) {
        if self.lease_manager.may_send_orders(now_ms) {
            let others = self.peers.loads_in_flight(now_ms);
            let base_loads = self.due_base_loads(now_ms);
            let loading = self.base_loads.loading();
            let jobs = self.assignments.plan(others, &base_loads, loading, MIN_IDLE_MS, now_ms);
            for job in jobs {
                self.outputs.queue_worker_job(job);
            }
        }
        let mut served = IndexSet::new();
        for (worker, assignment) in self.assignments.iter_mut() {
            let summary = assignment.summary();
            if summary == assignment.published {
                continue;
            }
            served.extend(assignment.take_served_peers(&summary));
            assignment.published = summary;
            self.changed_workers.insert(worker.clone());
        }
        if served.is_empty() {
            return;
        }
        let state = self.daemon_state(None, now_ms);
        let served = served.iter().filter_map(|host| self.peers.get(host));
        let receivers = served.map(|peer| peer.address).collect();
        self.send_state(state, receivers);
    }

    /// Publishes a view with the changes since the last one.
    fn publish_changes(&mut self, now_ms: u64) {
        let changed = std::mem::take(&mut self.changed_workers);
        let is_full = std::mem::take(&mut self.must_publish_all);
        if is_full {
            self.publish(None, now_ms);
        } else if !changed.is_empty() {
            let changed: Vec<_> = changed.into_iter().collect();
            self.publish(Some(&changed), now_ms);
        }
    }

    pub(super) fn publish(&mut self, changed: Option<&[name::WorkerName]>, now_ms: u64) {
        if changed.is_none() {
            self.last_full_view_ms = now_ms;
        }
        self.update_team_limits(now_ms);
        let (catalog, assignments, peers) = (&self.catalog, &self.assignments, &self.peers);
        self.publisher.publish(catalog, assignments, peers, changed, self.is_shutting_down, now_ms);
    }
}
