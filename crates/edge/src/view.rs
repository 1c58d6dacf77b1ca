//! Immutable view of the fleet, published by the control thread for the traffic thread.

use std::sync::Arc;

use indexmap::IndexMap;
use jasminetack_domain::dispatch;
use jasminetack_domain::ingress;
use jasminetack_domain::name;
use jasminetack_domain::upstream;
use rustc_hash::{FxBuildHasher, FxHashMap};

/// Snapshot of the fleet.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Active configuration; `None` until it has been read.
    pub ingress: Option<Arc<ingress::Ingress>>,
    /// Workers by service.
    pub services: IndexMap<name::ServiceName, Vec<Arc<WorkerView>>>,
    /// Newest version of each adapter, as set by the operator.
    pub adapter_versions: Arc<IndexMap<name::AdapterName, u32>>,
    /// Number of known daemons, including this one.
    pub daemon_count: usize,
    /// Segments on which workers crash, with the time until which requests with them are refused.
    pub quarantined: Arc<IndexMap<dispatch::SegmentId, u64, FxBuildHasher>>,
    /// Whether the daemon is shutting down.
    pub is_shutting_down: bool,
}

/// State of a worker for routing.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// Entry of the worker.
    pub upstream: Arc<upstream::Upstream>,
    /// Whether the worker has a live holder, which can have it load adapters.
    pub has_holder: bool,
    /// Time at which its holder last reported its adapters; `None` if this daemon is the holder.
    pub reported_ms: Option<u64>,
    /// Whether a base model is loaded.
    pub has_base_model: bool,
    /// Adapters that are loaded or loading.
    pub adapters: FxHashMap<name::AdapterName, AdapterState>,
    /// Adapters that wait for a free slot or for another load to finish.
    pub waiting_loads: u32,
    /// Predicted time until a further load starts.
    pub load_wait_ms: u32,
}

/// State of an adapter on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdapterState {
    /// Version of the adapter; 0 if the operator has set none.
    pub version: u32,
    /// Whether the adapter is still loading.
    pub is_loading: bool,
}

impl View {
    /// Returns the workers of a service.
    #[must_use]
    pub fn workers(&self, service: &name::ServiceName) -> &[Arc<WorkerView>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the tokens that fit into the memory of each engine of a service, if it is known.
    #[must_use]
    pub fn memory_capacity_tokens(&self, service: &name::ServiceName) -> Option<u32> {
        let profile = self.ingress.as_ref()?.service(service)?;
        profile.engine.as_ref()?.memory_capacity_tokens
    }

    /// Returns the time until which requests with a prompt are refused because of one of its segments.
    #[must_use]
    pub fn quarantined_until_ms(
        &self,
        segments: &[dispatch::PromptSegment],
        now_ms: u64,
    ) -> Option<u64> {
        let shared = dispatch::PromptSegment::shared(segments).iter();
        let until = shared.filter_map(|segment| self.quarantined.get(&segment.id));
        until.copied().max().filter(|until_ms| now_ms < *until_ms)
    }
}
