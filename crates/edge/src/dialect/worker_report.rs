//! What a worker reports of itself.

use jasminetack_domain::adapter;
use jasminetack_domain::name;

/// What a worker holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// Base models.
    pub base_models: Vec<name::BaseModelName>,
    /// Adapters, those in transit included.
    pub adapters: Vec<adapter::AdapterRef>,
}
