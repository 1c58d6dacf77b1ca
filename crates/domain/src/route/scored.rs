//! Default routing policy: lowest predicted time to the first token.

use super::sample;
use super::{Decision, Fleet, Observations, Policy, RouteRequest, WorkerView};
use crate::locality;
use crate::name;

/// Time of one adapter load while the weight store is not saturated.
const LOAD_COST_MS: f64 = 250.0;
/// Time added by each request in the batch, which lengthens the steps.
const BATCHED_COST_MS: f64 = 5.0;
/// Queueing time per request above the batch size.
const WAITING_COST_MS: f64 = 60.0;
/// Round trip between failure domains, at 0.5 ms each way.
const SAME_REGION_COST_MS: f64 = 1.0;
/// Delay between regions plus the price of the traffic, expressed as time.
const OTHER_REGION_COST_MS: f64 = 200.0;
/// Maximum number of scored holders; a sample of this size is enough when there are more.
const MAX_HOLDERS: usize = 16;
/// Maximum number of scored workers without the adapter.
const MAX_ALTERNATIVES: usize = 2;

/// Chooses the worker with the lowest predicted time to the first token.
#[derive(Clone, Copy, Debug)]
pub struct Scored {
    batch_places: u32,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Score {
    cost_ms: f64,
    is_straggler: bool,
}

impl Scored {
    /// Creates the policy for engines that batch up to `batch_places` requests.
    #[must_use]
    pub fn new(batch_places: u32) -> Self {
        Self { batch_places }
    }

    fn score(
        &self,
        request: &RouteRequest<'_>,
        worker: &WorkerView,
        observations: &Observations,
        now_ms: u64,
    ) -> Score {
        let load_ms = if worker.loaded.contains(request.adapter) { 0.0 } else { LOAD_COST_MS };
        let network_ms = match request.from.distance(&worker.locality) {
            locality::Distance::SameFailureDomain => 0.0,
            locality::Distance::SameRegion => SAME_REGION_COST_MS,
            locality::Distance::OtherRegion => OTHER_REGION_COST_MS,
        };
        let outstanding = observations.outstanding(&worker.name, now_ms);
        let beyond_batch = (outstanding + 1.0 - f64::from(self.batch_places)).max(0.0);
        let wait_ms = outstanding * BATCHED_COST_MS + beyond_batch * WAITING_COST_MS;
        let latencies = observations.latencies();
        let first_token_ms =
            latencies.get(&worker.name).and_then(super::WorkerLatency::first_token_ms);
        Score {
            cost_ms: load_ms + network_ms + wait_ms + first_token_ms.unwrap_or(0.0),
            is_straggler: latencies.is_straggler(&worker.name, now_ms),
        }
    }

    /// Samples workers other than the holders that are already scored.
    fn alternatives<Random>(
        holders: &[name::WorkerName],
        request: &RouteRequest<'_>,
        fleet: &Fleet,
        best_ms: f64,
        random: &mut Random,
    ) -> Vec<name::WorkerName>
    where
        Random: rand::Rng,
    {
        let region = request.from.region();
        let local = fleet.in_region(request.base_model, region);
        // Another region is sampled early only if the predicted gain exceeds the cost of crossing.
        let local_count =
            if best_ms > OTHER_REGION_COST_MS { MAX_ALTERNATIVES - 1 } else { MAX_ALTERNATIVES };
        let mut chosen = sample::usable(local, holders, local_count, request, fleet, random);
        for remote in fleet.outside_region(request.base_model, region) {
            let missing = MAX_ALTERNATIVES.saturating_sub(chosen.len());
            if missing == 0 {
                break;
            }
            chosen.extend(sample::usable(remote, holders, missing, request, fleet, random));
        }
        chosen
    }
}

impl Policy for Scored {
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
        let holders = fleet.holders(request.adapter);
        let names = sample::usable(holders, &[], MAX_HOLDERS, request, fleet, random);
        let mut scored = Vec::with_capacity(names.len() + MAX_ALTERNATIVES);
        self.score_all(&names, request, fleet, observations, now_ms, &mut scored);
        let best_ms = scored.iter().map(|(_, score)| score.cost_ms).fold(f64::INFINITY, f64::min);
        let alternatives = Self::alternatives(&names, request, fleet, best_ms, random);
        self.score_all(&alternatives, request, fleet, observations, now_ms, &mut scored);
        let mut reason = "lowest predicted time to first token";
        let mut best = None;
        for (index, (name, score)) in scored.iter().enumerate() {
            if score.is_straggler && observations.latencies_mut().try_probe(name, now_ms) {
                best = Some(index);
                reason = "probe of a straggler";
                break;
            }
            // A straggler is chosen only if all candidates are stragglers.
            let rank = |score: &Score| (score.is_straggler, score.cost_ms);
            let is_better = best.is_none_or(|best: usize| rank(score) < rank(&scored[best].1));
            if is_better {
                best = Some(index);
            }
        }
        let (worker, score) = scored.swap_remove(best?);
        let considered = scored.into_iter();
        let considered = considered.map(|(name, score)| (name, score.cost_ms as u64)).collect();
        Some(Decision { worker, cost_ms: score.cost_ms as u64, considered, reason })
    }
}

impl Scored {
    fn score_all(
        &self,
        names: &[name::WorkerName],
        request: &RouteRequest<'_>,
        fleet: &Fleet,
        observations: &Observations,
        now_ms: u64,
        scored: &mut Vec<(name::WorkerName, Score)>,
    ) {
        for name in names {
            let Some(worker) = fleet.get(name) else { continue };
            scored.push((name.clone(), self.score(request, worker, observations, now_ms)));
        }
    }
}
