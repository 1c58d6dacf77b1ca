//! Reports of an engine about its adapter instances.

use crate::adapter;

/// Instances that an engine holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstanceListing {
    /// Names as the engine lists them; names that are not adapter instances are ignored.
    pub names: Vec<String>,
    /// Value of `Worker::generation` before the listing was requested.
    pub generation: u64,
}

/// Result of reconciling the slots with a listing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reconciliation {
    /// An order began or ended after the listing was requested, so the listing was ignored.
    pub is_stale: bool,
    /// Number of instances that were added to the slots.
    pub added: usize,
    /// Number of slots whose instance the engine no longer holds.
    pub removed: usize,
    /// The engine holds an instance of a later owner.
    pub is_superseded: bool,
}

/// Instances in use according to an engine's load report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Earliest time at which the engine can have taken the report.
    pub taken_ms: u64,
    /// Instances with waiting or running requests.
    pub in_use: Vec<adapter::InstanceName>,
}
