//! Placement state that is published to other daemons.

use crate::adapter;

/// An adapter at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldAdapter {
    /// Adapter and version.
    pub adapter: adapter::AdapterRef,
    /// Whether it is still being loaded.
    pub is_loading: bool,
}

/// State of a placement for routing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Whether the worker holds its base model.
    pub has_base_model: bool,
    /// Whether the worker is loading its base model.
    pub is_loading_base_model: bool,
    /// Adapters that are resident or being loaded.
    pub held: Vec<HeldAdapter>,
    /// Adapters that wait for a slot or a load.
    pub waiting_loads: u32,
    /// Predicted time until a further load starts.
    pub load_wait_ms: u32,
}

/// Number of slots in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Adapters that can be used.
    pub resident: usize,
    /// Resident adapters that requests use.
    pub in_use: usize,
    /// Adapters that are being loaded.
    pub loading: usize,
    /// Adapters that are being unloaded.
    pub unloading: usize,
    /// Adapters that wait for a slot or a load.
    pub waiting: usize,
}
