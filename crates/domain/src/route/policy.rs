//! Routing policies.

use super::{Decision, Fleet, Observations};
use crate::adapter;
use crate::locality;
use crate::name;

/// Request attributes that a policy uses.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    /// Required adapter version.
    pub adapter: &'a adapter::AdapterRef,
    /// Base model of the adapter.
    pub base_model: &'a name::BaseModelName,
    /// Region and failure domain of the routing daemon.
    pub from: &'a locality::Locality,
    /// Workers that already failed the request.
    pub excluded: &'a [name::WorkerName],
}

/// Routing policy; implemented by the default policy and by the baselines.
pub trait Policy {
    /// Chooses a worker, or `None` when no worker can serve the request.
    fn choose<Random>(
        &self,
        request: &RouteRequest<'_>,
        fleet: &Fleet,
        observations: &mut Observations,
        random: &mut Random,
        now_ms: u64,
    ) -> Option<Decision>
    where
        Random: rand::Rng;
}
