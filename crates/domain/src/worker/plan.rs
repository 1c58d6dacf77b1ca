//! What a worker tells its caller to do.

use crate::adapter;
use crate::name;

/// A request to send to the engine; its slot is pinned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The request.
    pub request_id: name::RequestId,
    /// Instance that must answer.
    pub instance: adapter::InstanceName,
    /// Priority for the engine; lower runs first.
    pub engine_priority: Option<i32>,
    /// Time spent in the queue.
    pub waited_ms: u64,
}

/// Orders for the engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Adapters to load.
    pub loads: Vec<LoadOrder>,
    /// Instances to unload.
    pub unloads: Vec<UnloadOrder>,
}

/// Order to load an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// The adapter.
    pub adapter: adapter::AdapterRef,
    /// Name under which it is loaded.
    pub instance: adapter::InstanceName,
    /// The request that waits longest for it; `None` for a prefetch.
    pub request_id: Option<name::RequestId>,
    /// Adapters that wait for a load as well.
    pub also_wanted: Vec<adapter::AdapterRef>,
}

/// Order to unload an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct UnloadOrder {
    /// The instance.
    pub instance: adapter::InstanceName,
    /// The request that needs the slot; `None` when an earlier order is repeated.
    pub request_id: Option<name::RequestId>,
    /// Value of the instance.
    pub value: f64,
    /// Instances that could have been unloaded, with their values.
    pub alternatives: Vec<(adapter::InstanceName, f64)>,
}

/// How a load failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadFailure {
    /// The engine refused; nothing was loaded.
    Refused,
    /// No answer arrived; the load may still take effect.
    Unknown,
}
