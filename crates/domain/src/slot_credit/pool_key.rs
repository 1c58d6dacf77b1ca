//! Key of the workers that one broker assigns.

use crate::name;

/// Workers of one service in one region.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PoolKey {
    /// The service.
    pub service: name::ServiceName,
    /// The region.
    pub region: name::RegionName,
}

impl PoolKey {
    /// Returns the key by which daemons are ranked to find the broker.
    #[must_use]
    pub fn rank_key(&self) -> String {
        format!("{}/{}", self.service, self.region)
    }
}
