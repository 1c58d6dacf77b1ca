//! Locality of a host or upstream.

use crate::name;

/// Region and failure domain of a host or upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Locality {
    region: name::RegionName,
    failure_domain: name::FailureDomainName,
}

impl Locality {
    /// Creates a locality from its region and failure domain.
    #[must_use]
    pub fn new(region: name::RegionName, failure_domain: name::FailureDomainName) -> Self {
        Self { region, failure_domain }
    }

    /// Returns the region.
    #[must_use]
    pub fn region(&self) -> &name::RegionName {
        &self.region
    }

    /// Returns the failure domain.
    #[must_use]
    pub fn failure_domain(&self) -> &name::FailureDomainName {
        &self.failure_domain
    }

    /// Returns the distance class between two localities.
    #[must_use]
    pub fn distance(&self, other: &Self) -> Distance {
        if self.region != other.region {
            return Distance::OtherRegion;
        }
        if self.failure_domain != other.failure_domain {
            return Distance::SameRegion;
        }
        Distance::SameFailureDomain
    }
}

/// Distance class of two localities, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Same region and failure domain.
    SameFailureDomain,
    /// Same region, another failure domain.
    SameRegion,
    /// Another region; traffic is slow and paid by volume.
    OtherRegion,
}
