//! Part of a route's requests.

use crate::name;

/// Service that gets a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: name::ServiceName,
    /// Its part, relative to the other shares of the route.
    pub weight: u32,
}
