//! A worker that this daemon gives orders to.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use jasminetack_domain::adapter;
use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use jasminetack_domain::placement;
use jasminetack_domain::upstream;

/// Time by which the note in the store outlasts the orders without an answer.
const LATE_WRITE_MARGIN_MS: u64 = 4_000;

/// A worker that this daemon gives orders to.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The worker.
    pub upstream: Arc<upstream::Upstream>,
    /// Fencing token of the orders.
    pub fencing_token: u64,
    /// Adapter places; `None` until the worker has reported what it holds.
    pub placement: Option<placement::Placement>,
    /// When the worker was last asked for a report.
    pub report_requested_ms: u64,
    /// Time until which orders of an earlier holder, or from before a restart of the worker, may still
    /// be carried out.
    late_until_ms: u64,
    /// Time of that kind which the store knows.
    stored_late_until_ms: u64,
    /// Requests that began since the last look at the adapters in use.
    pub begun: IndexMap<name::AdapterName, u32>,
    /// State for routing when it was last published.
    pub published: placement::Summary,
    /// Daemons that wait for adapters.
    waiting_peers: IndexMap<name::AdapterName, IndexSet<name::HostName>>,
}

impl Assignment {
    /// Creates a hold of a worker that has not reported yet.
    pub fn new(upstream: Arc<upstream::Upstream>, fencing_token: u64, late_until_ms: u64) -> Self {
        Self {
            upstream,
            fencing_token,
            placement: None,
            report_requested_ms: 0,
            late_until_ms,
            stored_late_until_ms: late_until_ms,
            begun: IndexMap::new(),
            published: placement::Summary::default(),
            waiting_peers: IndexMap::new(),
        }
    }

    /// Returns the state for routing.
    pub fn summary(&self) -> placement::Summary {
        self.placement.as_ref().map(placement::Placement::summary).unwrap_or_default()
    }

    /// Forgets what the worker holds, because it restarted; orders from before may still be carried out.
    pub fn reset(&mut self) {
        self.late_until_ms = self.late_until_ms();
        self.placement = None;
        self.report_requested_ms = 0;
    }

    /// Returns a time until which orders may be carried out late when the store must be told of it.
    ///
    /// The time has a margin, so that a series of such orders costs few writes.
    pub fn take_late_update(&mut self) -> Option<u64> {
        let late_until_ms = self.placement.as_ref()?.late_until_ms();
        if late_until_ms <= self.stored_late_until_ms {
            return None;
        }
        self.stored_late_until_ms = late_until_ms + LATE_WRITE_MARGIN_MS;
        Some(self.stored_late_until_ms)
    }

    /// Notes that the store was not told of late orders, so that the next order tells it again.
    pub fn record_late_write_failure(&mut self) {
        self.stored_late_until_ms = self.late_until_ms;
    }

    /// Returns the time until which orders of this daemon or an earlier one may be carried out.
    pub fn late_until_ms(&self) -> u64 {
        let placement = self.placement.as_ref();
        let own_ms = placement.map_or(0, placement::Placement::late_until_ms);
        own_ms.max(self.late_until_ms)
    }

    /// Notes that another daemon waits for an adapter; returns whether it can be used already.
    pub fn add_waiting_peer(
        &mut self,
        adapter: &adapter::AdapterRef,
        host: &name::HostName,
    ) -> bool {
        let is_usable = self.published.held.iter().any(|held| {
            !held.is_loading
                && held.adapter.name() == adapter.name()
                && held.adapter.version() >= adapter.version()
        });
        if !is_usable {
            self.waiting_peers.entry(adapter.name().clone()).or_default().insert(host.clone());
        }
        is_usable
    }

    /// Takes the daemons that wait for adapters which can be used by now.
    pub fn take_served_peers(&mut self, summary: &placement::Summary) -> IndexSet<name::HostName> {
        let mut served = IndexSet::new();
        for held in summary.held.iter().filter(|held| !held.is_loading) {
            served.extend(self.waiting_peers.swap_remove(held.adapter.name()).unwrap_or_default());
        }
        served
    }

    /// Passes the use of adapters on to the placement; `in_flight` counts over all daemons.
    pub fn apply_uses(&mut self, in_flight: &IndexMap<name::AdapterName, u32>, now_ms: u64) {
        let begun = std::mem::take(&mut self.begun);
        let Some(placement) = &mut self.placement else { return };
        let adapters: Vec<_> = placement.adapters().cloned().collect();
        for adapter in adapters {
            let used = dispatch::AdapterUse {
                in_flight: in_flight.get(&adapter).copied().unwrap_or(0),
                begun: begun.get(&adapter).copied().unwrap_or(0),
            };
            placement.record_use(&adapter, used, now_ms);
        }
    }
}
