//! Credits that a daemon has asked for and holds.

use indexmap::IndexMap;
use rustc_hash::{FxBuildHasher, FxHashMap};

use super::PoolKey;
use crate::name;

/// Request for a credit that has not been decided.
#[derive(Debug)]
pub struct AskedCredit<Waiter> {
    /// Workers asked for.
    pub pool: PoolKey,
    /// Daemon that was asked.
    pub broker: name::HostName,
    /// Whether the broker has answered that the request waits.
    pub is_queued: bool,
    /// Receiver of the answer.
    pub waiter: Waiter,
}

/// Call in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldCredit {
    /// Workers to which the called one belongs.
    pub pool: PoolKey,
    /// The called worker.
    pub worker: name::WorkerName,
    /// Broker process that granted the credit, as host and start time; `None` if the daemon chose the
    /// worker by itself.
    pub broker: Option<(name::HostName, u64)>,
}

/// Credits of one daemon and its calls without one, by number.
#[derive(Debug)]
pub struct CreditLedger<Waiter> {
    asked: IndexMap<u64, AskedCredit<Waiter>, FxBuildHasher>,
    held: IndexMap<u64, HeldCredit, FxBuildHasher>,
    /// Start time of each broker's latest process that has answered.
    processes: FxHashMap<name::HostName, u64>,
}

impl<Waiter> Default for CreditLedger<Waiter> {
    fn default() -> Self {
        Self {
            asked: IndexMap::default(),
            held: IndexMap::default(),
            processes: FxHashMap::default(),
        }
    }
}

impl<Waiter> CreditLedger<Waiter> {
    /// Adds a request for a credit.
    pub fn ask(&mut self, number: u64, asked: AskedCredit<Waiter>) {
        self.asked.insert(number, asked);
    }

    /// Removes and returns a request for a credit, to answer it or because its call was given up.
    pub fn take_asked(&mut self, number: u64) -> Option<AskedCredit<Waiter>> {
        self.asked.swap_remove(&number)
    }

    /// Records the process that sent an answer; the answer of an earlier process of the host may be late.
    pub fn record_broker(&mut self, host: &name::HostName, started_unix_ms: u64) {
        match self.processes.get_mut(host) {
            Some(known) => *known = started_unix_ms.max(*known),
            None => {
                self.processes.insert(host.clone(), started_unix_ms);
            }
        }
    }

    /// Forgets the processes of brokers that are not to be kept.
    pub fn retain_brokers(&mut self, mut is_kept: impl FnMut(&name::HostName) -> bool) {
        self.processes.retain(|host, _| is_kept(host));
    }

    /// Adds a call in flight.
    pub fn hold(&mut self, number: u64, held: HeldCredit) {
        self.held.insert(number, held);
    }

    /// Returns whether a call is in flight.
    #[must_use]
    pub fn is_held(&self, number: u64) -> bool {
        self.held.contains_key(&number)
    }

    /// Removes and returns a call that ended.
    pub fn end(&mut self, number: u64) -> Option<HeldCredit> {
        self.held.swap_remove(&number)
    }

    /// Counts the calls in flight at the workers of a pool that a broker does not know, by worker.
    #[must_use]
    pub fn foreign_calls(
        &self,
        pool: &PoolKey,
        broker: &name::HostName,
    ) -> Vec<(name::WorkerName, u32)> {
        let process = self.processes.get(broker);
        let mut calls: IndexMap<&name::WorkerName, u32, FxBuildHasher> = IndexMap::default();
        for held in self.held.values() {
            let is_known = held.broker.as_ref().is_some_and(|(host, started_unix_ms)| {
                host == broker && Some(started_unix_ms) == process
            });
            if held.pool == *pool && !is_known {
                *calls.entry(&held.worker).or_default() += 1;
            }
        }
        calls.into_iter().map(|(worker, count)| (worker.clone(), count)).collect()
    }
}
