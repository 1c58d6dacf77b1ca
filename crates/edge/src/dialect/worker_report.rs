//! Report of a worker.

use jasminetack_domain::adapter;
use jasminetack_domain::name;
use jasminetack_domain::placement;

/// Models and adapters on a worker, as it reports them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// Loaded base models.
    pub base_models: Vec<name::BaseModelName>,
    /// Adapters that are loaded.
    pub adapters: Vec<adapter::AdapterRef>,
    /// Adapters that are being loaded.
    pub loading_adapters: Vec<adapter::AdapterRef>,
    /// Number of orders that the worker accepted since its start, if it states it.
    pub sequence: Option<u64>,
}

impl From<&WorkerReport> for placement::WorkerState {
    fn from(report: &WorkerReport) -> Self {
        Self {
            has_base_model: !report.base_models.is_empty(),
            resident: report.adapters.clone(),
            loading: report.loading_adapters.clone(),
            sequence: report.sequence,
        }
    }
}
