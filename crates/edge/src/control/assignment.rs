//! A worker assigned to this daemon.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use jasminetack_domain::adapter;
use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use jasminetack_domain::placement;
use jasminetack_domain::upstream;

/// Time by which the stored deadline of unanswered orders exceeds the actual one.
const LATE_WRITE_MARGIN_MS: u64 = 4_000;

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
    /// Time until which the worker may still execute orders of an earlier holder or from before its
    /// restart.
    late_until_ms: u64,
    /// Time until which the worker may execute unanswered orders, as recorded in the store.
    stored_late_until_ms: u64,
    /// Requests started since adapter uses were last applied, by adapter.
    pub started_requests: IndexMap<name::AdapterName, u32>,
    /// State for routing as last published.
    pub published: placement::Summary,
    /// Daemons that wait for an adapter to become usable, by adapter.
    waiting_peers: IndexMap<name::AdapterName, IndexSet<name::HostName>>,
}

impl Assignment {
    /// Creates the assignment of a worker that has not reported yet.
    pub fn new(upstream: Arc<upstream::Upstream>, fencing_token: u64, late_until_ms: u64) -> Self {
        Self {
            upstream,
            fencing_token,
            placement: None,
            report_requested_ms: 0,
            late_until_ms,
            stored_late_until_ms: late_until_ms,
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
    pub fn reset(&mut self) {
        self.late_until_ms = self.late_until_ms();
        self.placement = None;
        self.report_requested_ms = 0;
    }

    /// Returns the time until which unanswered orders may be executed if the store must be updated.
    ///
    /// The time includes a margin, so that a series of unanswered orders causes few writes.
    pub fn take_late_update(&mut self) -> Option<u64> {
        let late_until_ms = self.placement.as_ref()?.late_until_ms();
        if late_until_ms <= self.stored_late_until_ms {
            return None;
        }
        self.stored_late_until_ms = late_until_ms + LATE_WRITE_MARGIN_MS;
        Some(self.stored_late_until_ms)
    }

    /// Records that the store was not updated, so that the next order result causes another write.
    pub fn record_late_write_failure(&mut self) {
        self.stored_late_until_ms = self.late_until_ms;
    }

    /// Returns the time until which the worker may execute unanswered orders of any holder.
    pub fn late_until_ms(&self) -> u64 {
        let placement = self.placement.as_ref();
        let own_ms = placement.map_or(0, placement::Placement::late_until_ms);
        own_ms.max(self.late_until_ms)
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
