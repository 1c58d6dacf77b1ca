//! State that a worker reports.

use super::Order;
use crate::adapter;

/// Models, adapters and number of accepted orders of a worker, all as of the same moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerState {
    /// Whether the worker holds its base model.
    pub has_base_model: bool,
    /// Adapters that can be used.
    pub resident: Vec<adapter::AdapterRef>,
    /// Adapters that are being loaded.
    pub loading: Vec<adapter::AdapterRef>,
    /// Number of orders that the worker accepted since its start; `None` if it does not state it.
    pub sequence: Option<u64>,
}

impl WorkerState {
    /// Returns whether the worker holds or loads what an order loads, or does not hold what it unloads.
    #[must_use]
    pub fn is_as_ordered(&self, order: &Order) -> bool {
        let mut listed = self.resident.iter().chain(&self.loading);
        match order {
            Order::LoadBase(_) => self.has_base_model,
            Order::Load(adapter) => listed.any(|listed| {
                let is_version = adapter.version() == 0 || listed.version() == adapter.version();
                listed.name() == adapter.name() && is_version
            }),
            Order::Unload(adapter) => listed.all(|listed| listed.name() != adapter),
        }
    }
}
