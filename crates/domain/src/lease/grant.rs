//! Ownership of a worker as its holder uses it.

use crate::adapter;
use crate::name;

/// Ownership of one worker under one fencing number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Worker that is owned.
    pub worker: name::WorkerName,
    /// Fencing number of this ownership.
    pub fencing: adapter::FencingToken,
    /// Whether the engine refuses orders with a lower fencing number.
    pub refuses_old_fencing: bool,
}

impl Grant {
    /// Names the instance under which this owner loads an adapter.
    #[must_use]
    pub fn instance(&self, adapter: &adapter::AdapterRef) -> adapter::InstanceName {
        if self.refuses_old_fencing {
            return adapter::InstanceName::unfenced(adapter);
        }
        adapter::InstanceName::fenced(adapter, self.fencing)
    }
}
