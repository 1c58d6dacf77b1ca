//! Services that routes lead to.

use super::EngineProfile;
use crate::name;

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceProfile {
    /// Name of the service.
    pub name: name::ServiceName,
    /// Capacity of each engine; `None` for an app service.
    pub engine: Option<EngineProfile>,
}
