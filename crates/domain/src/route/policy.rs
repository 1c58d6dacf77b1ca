//! Routing policies.

use super::{Decision, Fleet, Observations};
use crate::adapter;
use crate::locality;
use crate::name;

/// What a policy needs to know of a request.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    /// Adapter version that must answer.
    pub adapter: &'a adapter::AdapterRef,
    /// Base model of the adapter.
    pub base_model: &'a name::BaseModelName,
    /// Place of the daemon that routes.
    pub from: &'a locality::Locality,
    /// Workers that failed the request already.
    pub excluded: &'a [name::WorkerName],
}

/// Chooses a worker; implemented by the product's policy and by the baselines.
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
