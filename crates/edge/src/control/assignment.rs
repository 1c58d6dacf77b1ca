//! A worker assigned to this daemon.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use jasminetack_domain::adapter;
use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use jasminetack_domain::placement;
use jasminetack_domain::upstream;

/// Worker assigned to this daemon.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The worker.
    pub upstream: Arc<upstream::Upstream>,
    /// Fencing token of orders to the worker.
    pub fencing_token: u64,
    /// Adapter slots and demand; `None` until the worker has reported its adapters.
    pub placement: Option<placement::Placement>,
    /// Time at which a report was last requested from the worker.
    pub report_requested_ms: u64,
    /// Times until which the worker may execute orders of which this daemon has no record.
    pub unrecorded: placement::UnrecordedOrders,
    /// Requests started since adapter uses were last applied, by adapter.
    pub started_requests: IndexMap<name::AdapterName, u32>,
    /// State for routing as last published.
    pub published: placement::Summary,
    /// Daemons that wait for an adapter to become usable, by adapter.
    waiting_peers: IndexMap<name::AdapterName, IndexSet<name::HostName>>,
}

impl Assignment {
    /// Creates the assignment of a worker that has not reported yet.
    pub fn new(
        upstream: Arc<upstream::Upstream>,
        fencing_token: u64,
        unrecorded: placement::UnrecordedOrders,
    ) -> Self {
        Self {
            upstream,
            fencing_token,
            placement: None,
            report_requested_ms: 0,
            unrecorded,
            started_requests: IndexMap::new(),
            published: placement::Summary::default(),
            waiting_peers: IndexMap::new(),
        }
    }

    /// Returns the state for routing.
    pub fn summary(&self) -> placement::Summary {
        self.placement.as_ref().map(placement::Placement::summary).unwrap_or_default()
    }

    /// Resets the state of a worker that restarted; it may still execute orders sent before.
    pub fn reset(&mut self, now_ms: u64) {
        self.unrecorded = placement::UnrecordedOrders::after_restart(now_ms);
        self.placement = None;
        self.report_requested_ms = 0;
    }

    /// Registers a daemon that waits for an adapter, unless the adapter is usable already; returns
    /// whether it is.
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

    /// Removes and returns the daemons whose awaited adapters have become usable.
    pub fn take_served_peers(&mut self, summary: &placement::Summary) -> IndexSet<name::HostName> {
        let mut served = IndexSet::new();
        for held in summary.held.iter().filter(|held| !held.is_loading) {
            served.extend(self.waiting_peers.swap_remove(held.adapter.name()).unwrap_or_default());
        }
        served
    }

    /// Records the use of adapters in the placement; `in_flight` counts requests of all daemons.
    pub fn apply_uses(&mut self, in_flight: &IndexMap<name::AdapterName, u32>, now_ms: u64) {
        let started_requests = std::mem::take(&mut self.started_requests);
        let Some(placement) = &mut self.placement else { return };
        let adapters: Vec<_> = placement.adapters().cloned().collect();
        for adapter in adapters {
            let used = dispatch::AdapterUse {
                in_flight: in_flight.get(&adapter).copied().unwrap_or(0),
                started: started_requests.get(&adapter).copied().unwrap_or(0),
            };
            placement.record_use(&adapter, used, now_ms);
        }
    }
}
