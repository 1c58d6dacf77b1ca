//! Report of a worker.

use jasminetack_domain::adapter;
use jasminetack_domain::name;

/// Models and adapters on a worker, as it reports them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// Loaded base models.
    pub base_models: Vec<name::BaseModelName>,
    /// Adapters that are loaded or loading.
    pub adapters: Vec<adapter::AdapterRef>,
}
