//! A service behind the routes.

use super::EngineProfile;
use crate::name;

/// What is configured of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceProfile {
    /// Name of the service.
    pub name: name::ServiceName,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one of its workers accepts from all callers together.
    pub max_connections: u32,
    /// Capacity of its engines; `None` for a plain application service.
    pub engine: Option<EngineProfile>,
}
