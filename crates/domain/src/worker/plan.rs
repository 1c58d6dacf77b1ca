//! Orders for the engine that a worker returns to its caller.

use crate::adapter;
use crate::name;

/// A request to send to the engine; its slot is pinned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// Id of the request.
    pub request_id: name::RequestId,
    /// Instance that runs the request.
    pub instance: adapter::InstanceName,
    /// Priority passed to the engine; lower values run first.
    pub engine_priority: Option<i32>,
    /// Time spent in the queue.
    pub waited_ms: u64,
}

/// Load and unload orders of one planning pass.
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
    /// Adapter to load.
    pub adapter: adapter::AdapterRef,
    /// Instance name under which the adapter is loaded.
    pub instance: adapter::InstanceName,
    /// First request in planning order that waits for the adapter; `None` for a prefetch.
    pub request_id: Option<name::RequestId>,
    /// Other adapters that requests wait for.
    pub also_wanted: Vec<adapter::AdapterRef>,
}

/// Order to unload an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct UnloadOrder {
    /// Instance to unload.
    pub instance: adapter::InstanceName,
    /// Request that needs the slot; `None` if an earlier order is repeated.
    pub request_id: Option<name::RequestId>,
    /// Retention value of the instance.
    pub value: f64,
    /// Other candidates for the unload, with their retention values.
    pub alternatives: Vec<(adapter::InstanceName, f64)>,
}

/// Kind of a load failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadFailure {
    /// The engine refused the order; the adapter was not loaded.
    Refused,
    /// The order was not answered and may still take effect.
    Unknown,
}
