//! State that a worker reports.

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
