//! Ingress routes.

use super::{RequestKind, WeightedService};
use crate::name;

/// Route for the requests to one host below one path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: name::RouteName,
    /// Path prefix; ends with a slash.
    pub prefix: String,
    /// Execution guarantee of the requests.
    pub kind: RequestKind,
    /// Maximum time that a caller waits for the response.
    pub timeout_ms: u64,
    /// Target for the time to the first byte of the response.
    pub first_byte_target_ms: u64,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Maximum number of workers that a request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Services that the requests are split between; never empty.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// Chooses a service by weight; `random` is uniformly distributed.
    #[must_use]
    pub fn service(&self, random: u64) -> Option<&name::ServiceName> {
        let total: u64 = self.services.iter().map(|weighted| u64::from(weighted.weight)).sum();
        if total == 0 {
            return self.services.first().map(|weighted| &weighted.service);
        }
        let mut position = random % total;
        for weighted in &self.services {
            let weight = u64::from(weighted.weight);
            if position < weight {
                return Some(&weighted.service);
            }
            position -= weight;
        }
        None
    }
}
