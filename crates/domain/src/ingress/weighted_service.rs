//! Weighted traffic split of a route.

use crate::name;

/// Service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: name::ServiceName,
    /// Weight of the service, relative to the other services of the route.
    pub weight: u32,
}
