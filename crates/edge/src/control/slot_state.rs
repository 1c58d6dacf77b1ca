//! State of the slot credits that this daemon uses and of those that it assigns.

use indexmap::IndexMap;
use jasminetack_domain::name;
use jasminetack_domain::slot_credit;
use jasminetack_domain::upstream;
use jasminetack_wire::fleet;
use rustc_hash::{FxBuildHasher, FxHashMap, FxHashSet};
use tokio::sync::oneshot;

use super::slot_ask::SlotReply;

/// Time after which a broker that is not asked any more is dropped.
const IDLE_BROKER_TTL_MS: u64 = 60_000;

/// Broker of one service and region on this daemon.
#[derive(Debug)]
struct ActiveBroker {
    broker: slot_credit::SlotBroker,
    used_ms: u64,
}

/// Slot credits as a user and as a broker.
#[derive(Debug)]
pub struct SlotState {
    host: name::HostName,
    /// Requests and calls of this daemon.
    pub(super) ledger: slot_credit::CreditLedger<oneshot::Sender<SlotReply>>,
    /// Brokers that do not answer.
    pub(super) directory: slot_credit::BrokerDirectory,
    /// Broker of each service and region, with the time until which it need not be chosen again.
    pub(super) routes: FxHashMap<slot_credit::PoolKey, (name::HostName, u64)>,
    brokers: IndexMap<slot_credit::PoolKey, ActiveBroker, FxBuildHasher>,
    /// Brokers that were told of calls without a credit of theirs, and must be told of their end.
    informed: FxHashSet<(name::HostName, slot_credit::PoolKey)>,
    /// Messages to be sent, by daemon.
    outbox: IndexMap<name::HostName, fleet::Datagram>,
}

impl SlotState {
    /// Creates the state of a process that has no calls.
    pub fn new(host: &name::HostName, started_unix_ms: u64) -> Self {
        let mut ledger = slot_credit::CreditLedger::default();
        ledger.record_broker(host, started_unix_ms);
        Self {
            host: host.clone(),
            ledger,
            directory: slot_credit::BrokerDirectory::default(),
            routes: FxHashMap::default(),
            brokers: IndexMap::default(),
            informed: FxHashSet::default(),
            outbox: IndexMap::new(),
        }
    }

    /// Returns the broker of a service and region on this daemon; a new one gets the listed workers.
    pub(super) fn broker(
        &mut self,
        pool: &slot_credit::PoolKey,
        directory: &upstream::Directory,
        now_ms: u64,
    ) -> &mut slot_credit::SlotBroker {
        let active = self.brokers.entry(pool.clone()).or_insert_with(|| {
            let mut broker = slot_credit::SlotBroker::default();
            // Nothing waits at a new broker.
            let _ = broker.set_workers(capacities(pool, directory), now_ms);
            ActiveBroker { broker, used_ms: now_ms }
        });
        active.used_ms = now_ms;
        &mut active.broker
    }

    /// Iterates over the brokers on this daemon.
    pub(super) fn brokers_mut(&mut self) -> impl Iterator<Item = &mut slot_credit::SlotBroker> {
        self.brokers.values_mut().map(|active| &mut active.broker)
    }

    /// Applies the listed workers, expires credits and waiting requests, and drops brokers that are not
    /// used any more.
    pub(super) fn update_brokers(
        &mut self,
        directory: &upstream::Directory,
        now_ms: u64,
    ) -> (Vec<slot_credit::Answer>, Vec<(slot_credit::PoolKey, slot_credit::BrokerCounts)>) {
        let (mut answers, mut counts) = (Vec::new(), Vec::new());
        for (pool, active) in &mut self.brokers {
            let broker = &mut active.broker;
            answers.extend(broker.set_workers(capacities(pool, directory), now_ms));
            answers.extend(broker.expire(now_ms));
            counts.push((pool.clone(), broker.take_counts()));
        }
        self.brokers.retain(|_, active| now_ms.saturating_sub(active.used_ms) < IDLE_BROKER_TTL_MS);
        (answers, counts)
    }

    /// Returns the number of requests that wait at brokers on this daemon.
    pub(super) fn waiting_count(&self) -> usize {
        self.brokers.values().map(|active| active.broker.waiting_count()).sum()
    }

    /// Returns the message that is prepared for a daemon.
    pub(super) fn message_to(&mut self, host: &name::HostName) -> &mut fleet::Datagram {
        if !self.outbox.contains_key(host) {
            self.outbox.insert(host.clone(), fleet::Datagram::default());
        }
        &mut self.outbox[host]
    }

    /// Takes the messages that are to be sent.
    pub(super) fn take_messages(&mut self) -> IndexMap<name::HostName, fleet::Datagram> {
        std::mem::take(&mut self.outbox)
    }

    /// Adds a returned credit and the calls without a credit of the receiver to the message for a broker.
    ///
    /// These calls are left out where there are none and the broker was not told of any before.
    pub(super) fn report(
        &mut self,
        pool: &slot_credit::PoolKey,
        broker: &name::HostName,
        returned: Option<fleet::SlotReturn>,
    ) {
        let calls = self.ledger.foreign_calls(pool, broker);
        let told = (broker.clone(), pool.clone());
        let was_told = match calls.is_empty() {
            true => self.informed.remove(&told),
            false => !self.informed.insert(told),
        };
        if returned.is_none() && calls.is_empty() && !was_told {
            return;
        }
        let reports = &mut self.message_to(broker).slot_reports;
        let known = reports.iter().position(|report| report.pool() == *pool);
        let index = known.unwrap_or_else(|| {
            reports.push(fleet::SlotReport::new(pool));
            reports.len() - 1
        });
        reports[index].returns.extend(returned);
        reports[index].set_foreign_calls(&calls);
    }

    /// Forgets other daemons that are not known any more.
    pub(super) fn retain_hosts(&mut self, is_known: impl Fn(&name::HostName) -> bool) {
        let is_kept = |host: &name::HostName| *host == self.host || is_known(host);
        self.ledger.retain_brokers(is_kept);
        self.directory.retain_hosts(is_kept);
        self.routes.retain(|_, (host, _)| is_kept(host));
        self.informed.retain(|(host, _)| is_kept(host));
    }

    /// Returns whether a host is this daemon.
    pub(super) fn is_self(&self, host: &name::HostName) -> bool {
        self.host == *host
    }
}

/// Lists the workers of a service and region that may get calls.
fn capacities<'a>(
    pool: &'a slot_credit::PoolKey,
    directory: &'a upstream::Directory,
) -> impl Iterator<Item = slot_credit::WorkerCapacity<'a>> {
    let workers = directory.iter().filter(|upstream| {
        !upstream.is_draining
            && upstream.service == pool.service
            && *upstream.locality.region() == pool.region
    });
    workers.map(|upstream| slot_credit::WorkerCapacity {
        worker: &upstream.name,
        slots: upstream.slots.max(1),
        started_unix_ms: upstream.started_unix_ms,
    })
}
