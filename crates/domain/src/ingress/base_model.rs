//! Base model that the workers of a service can hold.

use crate::name;

/// A base model and what its weights and adapters need.
#[derive(Clone, Debug, PartialEq)]
pub struct BaseModel {
    /// Name of the model.
    pub name: name::BaseModelName,
    /// Size of the weights in megabytes.
    pub weights_mb: f64,
    /// Size of one adapter in megabytes.
    pub adapter_mb: f64,
}
