//! Baseline policy: fewest requests.

use super::sample;
use super::{Decision, Fleet, Observations, Policy, RouteRequest};

/// Chooses the worker with the fewest requests, in the own region when it has one.
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
        let near = fleet.in_region(request.base_model, region);
        // The order is random, so that equal workers get equal work.
        let mut candidates = sample::usable(near, &[], near.len(), request, fleet, random);
        for far in fleet.outside_region(request.base_model, region) {
            if !candidates.is_empty() {
                break;
            }
            candidates = sample::usable(far, &[], far.len(), request, fleet, random);
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
