//! Baseline policy: fewest requests.

use super::sample;
use super::{Decision, Fleet, Observations, Policy, RouteRequest};

/// Chooses the worker with the fewest requests, in the local region if it has a usable one.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastOutstanding;

impl Policy for LeastOutstanding {
    fn choose<Random>(
        &self,
        request: &RouteRequest<'_>,
        fleet: &Fleet,
        observations: &mut Observations,
        random: &mut Random,
        now_ms: u64,
    ) -> Option<Decision>
    where
        Random: rand::Rng,
    {
        let region = request.from.region();
        let local = fleet.in_region(request.base_model, region);
        // The random order spreads requests evenly over workers with equal counts.
        let mut candidates = sample::usable(local, &[], local.len(), request, fleet, random);
        for remote in fleet.outside_region(request.base_model, region) {
            if !candidates.is_empty() {
                break;
            }
            candidates = sample::usable(remote, &[], remote.len(), request, fleet, random);
        }
        let mut best = None;
        for worker in candidates {
            let outstanding = observations.outstanding(&worker, now_ms);
            if best.as_ref().is_none_or(|(_, fewest)| outstanding < *fewest) {
                best = Some((worker, outstanding));
            }
        }
        let (worker, _) = best?;
        Some(Decision { worker, cost_ms: 0, considered: Vec::new(), reason: "fewest requests" })
    }
}
