//! Base models of a service.

use crate::name;

/// Base model with the memory that its weights and adapters take.
#[derive(Clone, Debug, PartialEq)]
pub struct BaseModel {
    /// Name of the model.
    pub name: name::BaseModelName,
    /// Size of the weights in megabytes.
    pub weights_mb: f64,
    /// Time of a load from the weight store at full speed.
    pub load_ms: u64,
    /// Size of one adapter in megabytes.
    pub adapter_mb: f64,
}
