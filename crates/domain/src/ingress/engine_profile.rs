//! Capacity of the model engines of a service.

use super::BaseModel;
use crate::name;

/// Capacity of each model engine of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Adapters that an engine can hold, those in transit included.
    pub adapter_slots: usize,
    /// Memory for weights and adapters together in megabytes.
    pub weights_mb: f64,
    /// Base models of the service.
    pub base_models: Vec<BaseModel>,
}

impl EngineProfile {
    /// Returns the adapters that fit beside the weights of the base models that are held.
    #[must_use]
    pub fn adapter_capacity(&self, held: &[name::BaseModelName]) -> usize {
        let mut free_mb = self.weights_mb;
        let mut largest_adapter_mb: f64 = 0.0;
        for model in &self.base_models {
            if !held.contains(&model.name) {
                continue;
            }
            free_mb -= model.weights_mb;
            largest_adapter_mb = largest_adapter_mb.max(model.adapter_mb);
        }
        if largest_adapter_mb <= 0.0 {
            return self.adapter_slots;
        }
        self.adapter_slots.min((free_mb / largest_adapter_mb).max(0.0) as usize)
    }
}
