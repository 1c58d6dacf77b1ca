//! Capacity of the model engines of a service.

use super::BaseModel;
use crate::name;

/// Capacity of each model engine of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Number of adapters that an engine can hold, including adapters that are being loaded.
    pub adapter_slots: usize,
    /// Memory for base model weights and adapters in megabytes.
    pub weights_mb: f64,
    /// Base model loads that may begin in a second, over all engines.
    pub loads_per_s: f64,
    /// Tokens of prompts and answers that fit into the memory of an engine; `None` if it is not stated.
    pub memory_capacity_tokens: Option<u32>,
    /// Base models of the service.
    pub base_models: Vec<BaseModel>,
}

impl EngineProfile {
    /// Returns the number of adapters that fit in memory along with the weights of the loaded base
    /// models.
    #[must_use]
    pub fn adapter_capacity(&self, loaded: &[name::BaseModelName]) -> usize {
        let mut free_mb = self.weights_mb;
        let mut largest_adapter_mb: f64 = 0.0;
        for model in &self.base_models {
            if !loaded.contains(&model.name) {
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
