//! What an engine reports of its adapters.

use crate::adapter;

/// Instances that an engine holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstanceListing {
    /// Names as the engine lists them; names that are no adapter instances are ignored.
    pub names: Vec<String>,
    /// Value of `Worker::generation` before the engine was asked.
    pub generation: u64,
}

/// What became of a listing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reconciliation {
    /// An order began or ended while the engine was asked, so the listing was not used.
    pub is_stale: bool,
    /// Instances that are used or held from now on.
    pub added: usize,
    /// Instances that the engine does not hold any more.
    pub removed: usize,
    /// The engine holds an instance of a later owner.
    pub is_superseded: bool,
}

/// Instances in use according to an engine's load report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Earliest time at which the report can have been taken.
    pub taken_ms: u64,
    /// Instances with requests that wait or run.
    pub in_use: Vec<adapter::InstanceName>,
}
