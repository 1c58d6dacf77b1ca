//! What other daemons learn of a placement.

use crate::adapter;

/// An adapter at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldAdapter {
    /// Adapter and version.
    pub adapter: adapter::AdapterRef,
    /// Whether it is still on its way.
    pub is_loading: bool,
}

/// State of a placement for routing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Whether the worker holds a base model.
    pub has_base_model: bool,
    /// Adapters that may be used now or soon.
    pub held: Vec<HeldAdapter>,
    /// Adapters that wait for a place or a load.
    pub waiting_loads: u32,
}

/// Numbers of places by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Adapters that can be used.
    pub resident: usize,
    /// Those of them that requests use.
    pub in_use: usize,
    /// Adapters on their way.
    pub loading: usize,
    /// Adapters that are being dropped.
    pub unloading: usize,
    /// Adapters that wait for a place or a load.
    pub waiting: usize,
}
