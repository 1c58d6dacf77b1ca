//! A worker that this daemon gives orders to.

use std::sync::Arc;

use indexmap::IndexMap;
use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use jasminetack_domain::placement;
use jasminetack_domain::upstream;

/// A worker that this daemon gives orders to.
#[derive(Clone, Debug)]
pub struct Hold {
    /// The worker.
    pub upstream: Arc<upstream::Upstream>,
    /// Fencing token of the orders.
    pub fence: u64,
    /// Adapter places; `None` until the worker has reported what it holds.
    pub placement: Option<placement::Placement>,
    /// When the worker was last asked for a report.
    pub asked_ms: u64,
    /// Whether nobody has given orders to the worker before.
    pub is_fresh: bool,
    /// Requests that began since the last look at the adapters in use.
    pub begun: IndexMap<name::AdapterName, u32>,
    /// What other daemons were told last.
    pub told: placement::Summary,
}

impl Hold {
    /// Creates a hold of a worker that has not reported yet.
    pub fn new(upstream: Arc<upstream::Upstream>, fence: u64, is_fresh: bool) -> Self {
        Self {
            upstream,
            fence,
            placement: None,
            asked_ms: 0,
            is_fresh,
            begun: IndexMap::new(),
            told: placement::Summary::default(),
        }
    }

    /// Returns the state for routing.
    pub fn summary(&self) -> placement::Summary {
        self.placement.as_ref().map(placement::Placement::summary).unwrap_or_default()
    }

    /// Passes the use of adapters on to the placement; `in_flight` counts over all daemons.
    pub fn apply_uses(&mut self, in_flight: &IndexMap<name::AdapterName, u32>, now_ms: u64) {
        let begun = std::mem::take(&mut self.begun);
        let Some(placement) = &mut self.placement else { return };
        for held in placement.summary().held {
            let adapter = held.adapter.name();
            let used = dispatch::AdapterUse {
                in_flight: in_flight.get(adapter).copied().unwrap_or(0),
                begun: begun.get(adapter).copied().unwrap_or(0),
            };
            placement.used(adapter, used, now_ms);
        }
    }
}
