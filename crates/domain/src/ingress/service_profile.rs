//! A service behind the routes.

use super::EngineProfile;
use crate::name;

/// What is configured of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceProfile {
    /// Name of the service.
    pub name: name::ServiceName,
    /// Capacity of its engines; `None` for a plain application service.
    pub engine: Option<EngineProfile>,
}
