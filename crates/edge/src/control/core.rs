//! State of the control thread.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use jasminetack_domain::upstream;
use jasminetack_wire::fleet;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use super::catalog::{Catalog, News};
use super::freshness::Freshness;
use super::holds::Holds;
use super::outputs::{Letter, Outputs};
use super::peers::{Peer, Peers};
use super::publisher::Publisher;
use super::tenancy::{Identity, LeaseTimes, Tenancy};
use super::{FeedEvent, Message, Reply};
use crate::clock;
use crate::dialect;
use crate::metrics;
use crate::store;

/// Interval of reports to daemons of the same region while these are few.
const REPORT_MS: u64 = 200;
/// Daemons of a region up to which they are few.
const FEW_DAEMONS: u64 = 5;
/// Reports without a use after which an adapter counts as idle.
const IDLE_REPORTS: u64 = 3;
/// Daemons of all regions up to which they are few.
const MANY_DAEMONS: u64 = 10;
/// Interval of reports to daemons of other regions, where bytes are paid by volume, while the
/// daemons are few.
const FAR_REPORT_MS: u64 = 1_000;
/// Longest interval of reports to daemons of the same region.
const MAX_REPORT_MS: u64 = 1_000;
/// Longest interval of reports to daemons of other regions.
const MAX_FAR_REPORT_MS: u64 = 8_000;
/// Rows that fit into a datagram together with the state of a daemon.
const MAX_SHARED_BYTES: usize = 24 * 1024;
/// Interval of publishing a complete view, so that silent daemons stop counting as holders.
const FULL_VIEW_MS: u64 = 1_000;

/// Everything that the daemon knows and decides outside of single requests.
pub struct Core<Dialect> {
    dialect: Arc<Dialect>,
    catalog: Catalog,
    holds: Holds,
    peers: Peers,
    tenancy: Tenancy,
    operator: Freshness,
    workers: Freshness,
    lost_tables: Vec<store::Table>,
    publisher: Publisher,
    outputs: Outputs,
    chooser: Arc<Mutex<dispatch::Chooser>>,
    metrics: Arc<metrics::Metrics>,
    started_unix_ms: u64,
    sequence: u64,
    is_leaving: bool,
    /// Waits for the end of the lease.
    leaving: Option<oneshot::Sender<()>>,
    reported_far_ms: u64,
    viewed_ms: u64,
    /// Workers that look different from the last view.
    changed: IndexSet<name::WorkerName>,
    must_publish_all: bool,
}

impl<Dialect> Core<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Creates the state of a daemon that knows nothing yet.
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
    ) -> Self {
        let operator = Freshness::new(&identity.host, store::Table::Operator.as_str());
        let workers = Freshness::new(&identity.host, store::Table::Workers.as_str());
        Self {
            dialect,
            catalog: Catalog::default(),
            holds: Holds::default(),
            peers: Peers::default(),
            tenancy: Tenancy::new(identity, times, clock::now_ms()),
            operator,
            workers,
            lost_tables: Vec::new(),
            publisher,
            outputs,
            chooser,
            metrics,
            started_unix_ms,
            sequence: 0,
            is_leaving: false,
            leaving: None,
            reported_far_ms: 0,
            viewed_ms: 0,
            changed: IndexSet::new(),
            must_publish_all: false,
        }
    }

    /// Handles messages from other threads.
    pub fn receive(&mut self, messages: Vec<Message>, now_ms: u64) {
        for message in messages {
            self.handle(message, now_ms);
        }
        self.order(now_ms);
        self.publish_changes(now_ms);
    }

    /// Does what is due for its time: calls to the store, claims and orders.
    pub fn watch(&mut self, now_ms: u64) {
        let store_ms = self.tenancy.store_clock().latest_ms(now_ms);
        if self.operator.begin_read(store_ms, now_ms) {
            self.outputs.read_operator();
        }
        if self.workers.begin_read(store_ms, now_ms) {
            self.outputs.read_workers();
        }
        let news = self.catalog.expire(now_ms);
        self.apply(news, now_ms);
        for job in self.tenancy.due(now_ms) {
            self.outputs.store(job);
        }
        if !self.is_leaving {
            self.claim(now_ms);
        }
        if now_ms.saturating_sub(self.viewed_ms) >= FULL_VIEW_MS {
            self.must_publish_all = true;
            self.holds.log_places();
            self.chooser.lock().loads.expire(now_ms);
        }
        self.order(now_ms);
        self.publish_changes(now_ms);
    }

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
        let region = self.tenancy.identity().place.region();
        let near = self.peers.iter().filter(|(_, peer)| peer.place.region() == region).count();
        let scaled = REPORT_MS * u64::try_from(near).unwrap_or(u64::MAX) / FEW_DAEMONS;
        scaled.clamp(REPORT_MS, MAX_REPORT_MS)
    }

    /// Returns the interval of reports to daemons of other regions.
    fn far_interval_ms(&self) -> u64 {
        let all = u64::try_from(self.peers.len()).unwrap_or(u64::MAX);
        (FAR_REPORT_MS * all / MANY_DAEMONS).clamp(FAR_REPORT_MS, MAX_FAR_REPORT_MS)
    }

    /// Returns whether orders are waiting, so that time matters.
    pub fn is_busy(&self) -> bool {
        self.holds.iter().any(|(_, hold)| {
            hold.placement.as_ref().is_some_and(|placement| {
                placement.in_transit() > 0 || placement.summary().waiting_loads > 0
            })
        })
    }

    fn handle(&mut self, message: Message, now_ms: u64) {
        match message {
            Message::Feed(table, event, began_ms) => self.feed(table, event, began_ms, now_ms),
            Message::Stored(reply) => self.stored(reply, now_ms),
            Message::Datagram(datagram) => self.datagram(*datagram, now_ms),
            Message::Demand { worker, adapter, is_missing, is_new } => {
                let demand = fleet::Demand {
                    worker: worker.to_string(),
                    adapter: adapter.name().to_string(),
                    version: adapter.version(),
                    is_missing,
                    is_new,
                };
                self.demand(&worker, demand, now_ms);
            }
            Message::Ordered { worker, fence, order, result } => {
                self.metrics.count_order(result.as_str());
                self.holds.ordered(&worker, fence, &order, result, now_ms);
                self.note_late_orders(&worker, now_ms);
            }
            Message::Reported { worker, fence, report } => {
                let ingress = self.catalog.ingress().cloned();
                self.holds.reported(&worker, fence, report, ingress.as_ref(), now_ms);
                self.changed.insert(worker);
            }
            Message::Terminate => self.terminate(),
            Message::Leave(done) => self.leave(done, now_ms),
        }
    }

    fn feed(&mut self, table: store::Table, event: FeedEvent, began_ms: u64, now_ms: u64) {
        let was_read = self.note_reading(table, &event, began_ms, now_ms);
        let mut news = match table {
            store::Table::Operator => self.catalog.operator_read(event, &*self.dialect),
            store::Table::Workers => self.catalog.workers_read(event, &*self.dialect, now_ms),
            store::Table::Leases | store::Table::Holders => return,
        };
        let rows = std::mem::take(&mut news.rows);
        self.apply(news, now_ms);
        if was_read {
            self.share(table, rows);
        }
    }

    /// Tells the other daemons of the region what was read, so that they need not read.
    fn share(&mut self, table: store::Table, rows: Vec<store::Row>) {
        let state = self.state(None);
        let mut datagram = self.next_datagram(Some(state), Vec::new());
        let size: usize = rows.iter().filter_map(|row| row.value.as_ref()).map(Vec::len).sum();
        // What does not fit into a datagram is read by each daemon.
        if size <= MAX_SHARED_BYTES {
            let rows = rows.into_iter().map(fleet::Row::from).collect();
            match table {
                store::Table::Operator => datagram.operator_rows = rows,
                _ => datagram.workers_rows = rows,
            }
        }
        let region = self.tenancy.identity().place.region().clone();
        let to = self.peers.addresses(|peer| *peer.place.region() == region);
        self.outputs.send(Letter { to, datagram });
    }

    /// Notes how recent a table is now, and whether the store was lost or regained; returns whether
    /// it was read.
    fn note_reading(
        &mut self,
        table: store::Table,
        event: &FeedEvent,
        began_ms: u64,
        now_ms: u64,
    ) -> bool {
        let freshness = match table {
            store::Table::Operator => &mut self.operator,
            _ => &mut self.workers,
        };
        let name = table.as_str();
        let was_lost = self.lost_tables.contains(&table);
        match event {
            FeedEvent::Listed(store::Listing { store_ms, .. })
            | FeedEvent::Changed(_, store_ms) => {
                freshness.read(*store_ms);
                self.tenancy.observe_clock(*store_ms, began_ms);
                if was_lost {
                    self.lost_tables.retain(|lost| *lost != table);
                    spdlog::info!("dependency-regained name=store table={name}");
                }
                return true;
            }
            FeedEvent::Stale => freshness.failed(now_ms),
            FeedEvent::Lost(error) => {
                freshness.failed(now_ms);
                if !was_lost {
                    self.lost_tables.push(table);
                    let took_ms = now_ms.saturating_sub(began_ms);
                    spdlog::warn!(
                        "dependency-lost name=store table={name} took_ms={took_ms} error={error:?}"
                    );
                }
            }
        }
        false
    }

    fn apply(&mut self, news: News, now_ms: u64) {
        for change in &news.workers {
            match change {
                upstream::Change::Joined(upstream) => {
                    let (worker, service) = (&upstream.name, &upstream.service);
                    let address = upstream.address;
                    spdlog::info!(
                        "worker-joined worker={worker} service={service} address={address}"
                    );
                    self.holds.updated(upstream, true);
                }
                upstream::Change::Updated(upstream) => {
                    if upstream.is_draining {
                        spdlog::info!("worker-draining worker={}", upstream.name);
                    }
                    self.holds.updated(upstream, false);
                }
                upstream::Change::Left(worker) => self.worker_left(worker),
            }
        }
        for adapter in &news.versions {
            self.holds.renew_version(adapter, now_ms);
        }
        self.must_publish_all |= news.has_changed;
    }

    fn worker_left(&mut self, worker: &name::WorkerName) {
        spdlog::info!("worker-left worker={worker}");
        let mut chooser = self.chooser.lock();
        chooser.health.forget(worker);
        chooser.loads.forget(worker);
        chooser.speeds.forget(worker);
        drop(chooser);
        if let Some(hold) = self.holds.end(worker, "worker-left") {
            self.outputs.store(self.tenancy.removal(worker, hold.fence));
        }
    }

    fn stored(&mut self, reply: Reply, now_ms: u64) {
        match reply {
            Reply::Rows { leases: Ok(leases), holders: Ok(holders), sent_ms } => {
                if let Some(job) = self.tenancy.rows(leases, holders, sent_ms) {
                    self.outputs.store(job);
                }
                self.learn_peers(now_ms);
                self.drop_lost_holds();
                for job in self.tenancy.due(now_ms) {
                    self.outputs.store(job);
                }
            }
            Reply::Rows { .. } => self.tenancy.rows_failed(now_ms),
            Reply::Renewed(result, sent_ms) => {
                if let Some(job) = self.tenancy.renewed(result, sent_ms, now_ms) {
                    self.outputs.store(job);
                }
            }
            Reply::Claimed(worker, result) => {
                let Some(fence) = self.tenancy.claimed(&worker, result) else { return };
                let Some(upstream) = self.catalog.directory().get(&worker) else { return };
                let late_until_ms = self.tenancy.late_until_ms(&worker);
                self.holds.begin(Arc::clone(upstream), fence, late_until_ms);
                self.changed.insert(worker);
            }
            Reply::Written(result) => {
                if let Err(error) = result {
                    spdlog::warn!("write-failed error={error:?}");
                }
                self.tell_left();
            }
        }
    }

    /// Writes into the store that orders of a worker may still be carried out, for its next holder.
    fn note_late_orders(&mut self, worker: &name::WorkerName, now_ms: u64) {
        let Some(hold) = self.holds.get_mut(worker) else { return };
        let Some(late_until_ms) = hold.take_late_news() else { return };
        if let Some(job) = self.tenancy.late_orders(worker, late_until_ms, now_ms) {
            self.outputs.store(job);
        }
    }

    fn learn_peers(&mut self, now_ms: u64) {
        let own = self.tenancy.host().clone();
        let mut listed = Vec::new();
        let mut is_new = false;
        for row in self.tenancy.leases() {
            if row.host == own {
                continue;
            }
            listed.push(row.host.clone());
            is_new |= self.peers.listed(row);
        }
        self.peers.retain_listed(&listed, now_ms);
        if is_new {
            // Daemons that know this one answer with their own states at their next report.
            let state = self.state(None);
            let to = self.peers.addresses(|_| true);
            self.send_state(state, to);
        }
    }

    /// Ends holds that the rows do not confirm.
    fn drop_lost_holds(&mut self) {
        let own = self.tenancy.host().clone();
        let lost = self.holds.iter().filter(|(worker, hold)| {
            let holder = self.tenancy.holder(worker);
            holder.is_some_and(|(host, fence)| fence > hold.fence || *host != own)
        });
        let lost: Vec<_> = lost.map(|(worker, _)| worker.clone()).collect();
        for worker in &lost {
            self.holds.end(worker, "taken-over");
        }
        self.changed.extend(lost);
    }

    fn datagram(&mut self, mut datagram: fleet::Datagram, now_ms: u64) {
        if datagram.host == self.tenancy.host().as_str() {
            return;
        }
        self.shared_rows(&mut datagram, now_ms);
        for demand in &datagram.demands {
            let worker = name::WorkerName::from(demand.worker.as_str());
            let adapter = demand.adapter();
            if !self.holds.want(&worker, demand, now_ms) {
                continue;
            }
            let host = name::HostName::from(datagram.host.as_str());
            let Some(hold) = self.holds.get_mut(&worker) else { continue };
            if hold.demanded(&adapter, &host) {
                // The daemon does not know yet that the adapter can be used.
                let to = self.peers.get(&host).map(|peer| peer.address).into_iter().collect();
                let state = self.state(None);
                self.send_state(state, to);
            }
        }
        let Some(state) = &datagram.state else { return };
        let address = match fleet::read_address(&state.address) {
            Ok(address) => address,
            Err(error) => {
                spdlog::warn!("datagram-refused from={} problem=\"{error}\"", datagram.host);
                return;
            }
        };
        let Some(changed) = self.peers.heard(&datagram, state, address, now_ms) else { return };
        let host = name::HostName::from(datagram.host.as_str());
        if state.has_loads {
            let loads = state.loads.iter().map(fleet::Load::reported).collect();
            let until_ms = self.peers.get(&host).map_or(0, |peer| now_ms + peer.silence_limit_ms);
            self.chooser.lock().loads.reported(&host, loads, until_ms);
        }
        if let Some(known) = state.operator {
            let is_same = known.digest == self.catalog.operator_digest();
            self.operator.told(is_same, known.as_of_store_ms);
        }
        if let Some(known) = state.workers {
            let is_same = known.digest == self.catalog.directory().digest();
            self.workers.told(is_same, known.as_of_store_ms);
        }
        for load in &state.loads {
            let worker = name::WorkerName::from(load.worker.as_str());
            let Some(hold) = self.holds.get_mut(&worker) else { continue };
            for used in load.adapters.iter().filter(|used| used.begun > 0) {
                let adapter = name::AdapterName::from(used.adapter.as_str());
                *hold.begun.entry(adapter).or_default() += used.begun;
            }
        }
        self.changed.extend(changed);
    }

    /// Takes in rows that another daemon has read.
    fn shared_rows(&mut self, datagram: &mut fleet::Datagram, now_ms: u64) {
        let decode = |rows: &mut Vec<fleet::Row>| -> Vec<store::Row> {
            rows.drain(..).map(store::Row::from).collect()
        };
        let operator = decode(&mut datagram.operator_rows);
        let workers = decode(&mut datagram.workers_rows);
        if !operator.is_empty() {
            let news = self.catalog.operator_rows(operator, &*self.dialect);
            self.apply(news, now_ms);
        }
        if !workers.is_empty() {
            let news = self.catalog.workers_rows(workers, &*self.dialect, now_ms);
            self.apply(news, now_ms);
        }
    }

    /// Has a worker's holder load an adapter.
    fn demand(&mut self, worker: &name::WorkerName, demand: fleet::Demand, now_ms: u64) {
        if self.holds.want(worker, &demand, now_ms) {
            return;
        }
        let Some((_, peer, _, _)) = self.peers.holder(worker) else { return };
        let to = vec![peer.address];
        let datagram = self.next_datagram(None, vec![demand]);
        self.outputs.send(Letter { to, datagram });
    }

    fn claim(&mut self, now_ms: u64) {
        let Some(ingress) = self.catalog.ingress() else { return };
        let upstreams = self.catalog.directory().iter().map(Arc::as_ref);
        let engines = upstreams.filter(|upstream| {
            let profile = ingress.service(&upstream.service);
            profile.is_some_and(|profile| profile.engine.is_some())
                && !upstream.is_draining
                && self.holds.get(&upstream.name).is_none()
        });
        let jobs = self.tenancy.claims(engines, self.holds.len(), &self.peers, now_ms);
        for job in jobs {
            self.outputs.store(job);
        }
    }

    /// Sends the orders that are due and tells other daemons of the region what changed.
    fn order(&mut self, now_ms: u64) {
        if self.tenancy.may_order(now_ms) {
            let others = self.peers.in_transit(now_ms);
            let min_idle_ms = self.report_interval_ms() * IDLE_REPORTS;
            for job in self.holds.plan(others, min_idle_ms, now_ms) {
                self.outputs.order(job);
            }
        }
        let mut served = IndexSet::new();
        for (worker, hold) in self.holds.iter_mut() {
            let summary = hold.summary();
            if summary == hold.published {
                continue;
            }
            served.extend(hold.take_served(&summary));
            hold.published = summary;
            self.changed.insert(worker.clone());
        }
        if served.is_empty() {
            return;
        }
        let state = self.state(None);
        let served = served.iter().filter_map(|host| self.peers.get(host));
        let to = served.map(|peer| peer.address).collect();
        self.send_state(state, to);
    }

    /// Publishes what has changed since the last view.
    fn publish_changes(&mut self, now_ms: u64) {
        let changed = std::mem::take(&mut self.changed);
        let is_full = std::mem::take(&mut self.must_publish_all);
        if is_full {
            self.publish(None, now_ms);
        } else if !changed.is_empty() {
            let changed: Vec<_> = changed.into_iter().collect();
            self.publish(Some(&changed), now_ms);
        }
    }

    /// Takes this daemon's load for the next report and counts the adapters in use.
    fn take_loads(&mut self, now_ms: u64) -> Vec<fleet::Load> {
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

    fn state(&self, loads: Option<Vec<fleet::Load>>) -> fleet::State {
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

    fn send_state(&mut self, state: fleet::State, to: Vec<std::net::SocketAddr>) {
        let datagram = self.next_datagram(Some(state), Vec::new());
        self.outputs.send(Letter { to, datagram });
    }

    fn next_datagram(
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
        }
    }

    fn publish(&mut self, changed: Option<&[name::WorkerName]>, now_ms: u64) {
        if changed.is_none() {
            self.viewed_ms = now_ms;
        }
        let (catalog, holds, peers) = (&self.catalog, &self.holds, &self.peers);
        self.publisher.publish(catalog, holds, peers, changed, self.is_leaving, now_ms);
    }

    /// Takes no further work on; orders go on until the last request has been answered.
    fn terminate(&mut self) {
        if std::mem::replace(&mut self.is_leaving, true) {
            return;
        }
        spdlog::info!("stopping holds={}", self.holds.len());
        self.must_publish_all = true;
    }

    /// Gives the lease up, so that other daemons need not wait for its end.
    fn leave(&mut self, done: oneshot::Sender<()>, now_ms: u64) {
        self.leaving = Some(done);
        let release = self.tenancy.release(now_ms);
        let is_written = release.is_some();
        if let Some(job) = release {
            self.outputs.store(job);
        }
        let state = self.state(None);
        let to = self.peers.addresses(|_| true);
        self.send_state(state, to);
        if !is_written {
            self.tell_left();
        }
    }

    fn tell_left(&mut self) {
        if self.tenancy.is_released()
            && let Some(done) = self.leaving.take()
        {
            // The process ends in any case after a moment.
            let _ = done.send(());
        }
    }
}

fn table_state(freshness: &Freshness, digest: u64) -> Option<fleet::TableState> {
    let as_of_store_ms = freshness.as_of_store_ms()?;
    Some(fleet::TableState { digest, as_of_store_ms })
}
