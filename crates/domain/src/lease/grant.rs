//! Grants, under which an owner sends orders to its worker.

use crate::adapter;
use crate::name;

/// Ownership of one worker under one fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Owned worker.
    pub worker: name::WorkerName,
    /// Fencing token of this ownership.
    pub fencing: adapter::FencingToken,
    /// Whether the engine rejects orders with a lower fencing token.
    pub refuses_old_fencing: bool,
}

impl Grant {
    /// Returns the instance name under which this owner loads an adapter.
    ///
    /// On engines that do not check fencing tokens, the name includes the fencing token, so that
    /// owners never share an instance.
    #[must_use]
    pub fn instance(&self, adapter: &adapter::AdapterRef) -> adapter::InstanceName {
        if self.refuses_old_fencing {
            return adapter::InstanceName::unfenced(adapter);
        }
        adapter::InstanceName::fenced(adapter, self.fencing)
    }
}
