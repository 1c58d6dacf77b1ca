//! Immutable view of the fleet that the control thread publishes for traffic.

use std::sync::Arc;

use indexmap::IndexMap;
use jasminetack_domain::ingress;
use jasminetack_domain::name;
use jasminetack_domain::upstream;
use rustc_hash::FxHashMap;

/// View of the fleet at one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration in force; `None` until it has been read.
    pub ingress: Option<Arc<ingress::Ingress>>,
    /// Workers by service.
    pub services: IndexMap<name::ServiceName, Vec<Arc<WorkerView>>>,
    /// Adapter versions that the operator named.
    pub adapter_versions: Arc<IndexMap<name::AdapterName, u32>>,
    /// Daemons that are known, this one included.
    pub daemon_count: usize,
    /// Whether the daemon shuts down.
    pub is_shutting_down: bool,
}

/// A worker for routing.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// The worker.
    pub upstream: Arc<upstream::Upstream>,
    /// Whether somebody can order it to load adapters.
    pub has_holder: bool,
    /// When its holder last told which adapters it has; `None` for a worker of this daemon's own.
    pub reported_ms: Option<u64>,
    /// Whether it holds a base model.
    pub has_base_model: bool,
    /// Adapters there.
    pub adapters: FxHashMap<name::AdapterName, AdapterState>,
    /// Adapters that wait for a place or a load.
    pub waiting_loads: u32,
}

/// Version of an adapter at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdapterState {
    /// The version; 0 when the operator has named none.
    pub version: u32,
    /// Whether it is on its way.
    pub is_loading: bool,
}

impl View {
    /// Returns the workers of a service.
    #[must_use]
    pub fn workers(&self, service: &name::ServiceName) -> &[Arc<WorkerView>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }
}
