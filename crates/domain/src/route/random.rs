//! Baseline policy: uniform random.

use super::sample;
use super::{Decision, Fleet, Observations, Policy, RouteRequest};

/// Chooses a worker of the base model at random, in the local region if it has a usable one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Random;

impl Policy for Random {
    fn choose<Source>(
        &self,
        request: &RouteRequest<'_>,
        fleet: &Fleet,
        _observations: &mut Observations,
        random: &mut Source,
        _now_ms: u64,
    ) -> Option<Decision>
    where
        Source: rand::Rng,
    {
        let region = request.from.region();
        let local = fleet.in_region(request.base_model, region);
        let mut chosen = sample::usable(local, &[], 1, request, fleet, random);
        for remote in fleet.outside_region(request.base_model, region) {
            if !chosen.is_empty() {
                break;
            }
            chosen = sample::usable(remote, &[], 1, request, fleet, random);
        }
        let worker = chosen.pop()?;
        Some(Decision { worker, cost_ms: 0, considered: Vec::new(), reason: "random" })
    }
}
