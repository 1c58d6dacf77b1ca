//! Choice of a worker by the predicted time to the first part of the answer.

use super::preferred_workers::PreferredWorkers;
use super::{
    AdapterState, BackOffs, Candidate, Estimate, GenerationTime, Health, Loads, Popularity,
    PrefillRate, PrefixEstimate, PromptCacheIndex, PromptSegment, RequestSize, Unavailability,
};
use crate::locality;
use crate::member;
use crate::name;
use crate::request_limit;
use crate::route;
use crate::upstream;

/// Time of a load on the preferred worker of an adapter, which is likely to have a local copy.
const PREFERRED_LOAD_COST_MS: f64 = 200.0;
/// Time of a load from the weight store, plus its price expressed as time.
const STORE_LOAD_COST_MS: f64 = 2000.0;
/// Minimum cost of a further replica of a popular adapter: the time of its load.
pub(super) const MIN_LOAD_COST_MS: f64 = 200.0;
/// Mean remaining time of a load in progress.
pub(super) const LOADING_COST_MS: f64 = 130.0;
/// Round trip to a lease holder in another region, plus the risk that the adapter was unloaded.
pub(super) const CONFIRMATION_COST_MS: f64 = 80.0;
/// Cost of each load that waits on a worker. It is constant, unlike the predicted wait: requests that
/// follow a changing prediction have the same adapter loaded on several workers.
const WAITING_LOAD_COST_MS: f64 = 40.0;
/// Time that one generation in the batch adds to the others through longer steps.
const GENERATION_COST_MS: f64 = 6.0;
/// Time added by each call in flight on an app service.
const CALL_COST_MS: f64 = 4.0;
/// Queueing time per call above the concurrency of an app service.
const WAITING_CALL_COST_MS: f64 = 20.0;
/// Round trip between failure domains of one region, plus the price of the traffic.
const SAME_REGION_COST_MS: f64 = 15.0;
/// Round trip between regions, plus the price of the traffic, expressed as time.
const OTHER_REGION_COST_MS: f64 = 160.0;
/// Range of the per-daemon offset of a worker's cost. Load reports are up to a second old, so without
/// the offset all daemons would send to the same worker.
const PREFERENCE_MS: u64 = 40;
/// Stall that is normal while a worker prefills a long prompt.
const STALL_GRACE_MS: u64 = 350;
/// Cost of a recent failure: the time of a retry.
const FAILURE_COST_MS: f64 = 300.0;
/// Cost that ranks a failing or stalled worker behind every healthy one.
const UNHEALTHY_COST_MS: f64 = 20_000.0;
/// Stall above which a worker counts as unhealthy.
const UNHEALTHY_STALL_MS: u64 = 1_500;
const MS_PER_S: f64 = 1_000.0;

/// Chooses workers for requests and tracks their load, failures and latency.
#[derive(Clone, Debug, Default)]
pub struct Chooser {
    /// Requests in flight.
    pub loads: Loads,
    /// Recent failures.
    pub health: Health,
    /// Prompt prefixes cached by each worker.
    pub prompt_cache: PromptCacheIndex,
    /// Request rate by adapter.
    pub popularity: Popularity,
    /// Mean duration of generations.
    pub generation_time: GenerationTime,
    /// Rate at which the engines of a service read prompts.
    pub prefill_rate: PrefillRate,
    /// Time to the first part of an answer, compared over the workers of a service.
    pub latencies: route::LatencyTracker,
    /// Rates of requests that workers accept.
    pub limits: request_limit::RequestLimits,
    /// Workers that want no requests for a time.
    pub back_offs: BackOffs,
}

/// A chosen worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The worker and its cost.
    pub decision: route::Decision,
    /// Predicted times there.
    pub estimate: Estimate,
    /// What the worker's memory means for the request.
    pub prefix: PrefixEstimate,
}

/// Inputs of the choice for one request.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Host of the deciding daemon.
    pub host: &'a name::HostName,
    /// Region and failure domain of the daemon.
    pub from: &'a locality::Locality,
    /// Adapter that the request needs.
    pub adapter: Option<&'a name::AdapterName>,
    /// Segments of the prompt.
    pub parts: &'a [PromptSegment],
    /// Size of the request.
    pub size: RequestSize,
    /// Tokens that fit into the memory of each worker of the service; `None` if it is not known.
    pub memory_capacity_tokens: Option<u32>,
    /// Worker that was asked to load the adapter for this request.
    pub loading_worker: Option<&'a name::WorkerName>,
    /// Workers that were already tried.
    pub excluded: &'a [name::WorkerName],
    /// Worker for which the request has taken a permit, with the time until it can be used.
    pub permit: Option<(&'a name::WorkerName, u64)>,
    /// Longest time that the request may wait for a permit.
    pub max_permit_wait_ms: u64,
    /// Whether only workers with a limit are considered, which may then load the adapter for this request
    /// alone.
    pub only_limited: bool,
}

impl ChoiceRequest<'_> {
    fn preference_ms(&self, worker: &name::WorkerName) -> f64 {
        let score = member::rendezvous::score(self.host.as_str(), worker.as_str());
        (score % PREFERENCE_MS) as f64
    }
}

impl Chooser {
    /// Chooses the worker with the lowest predicted time, or `None` when there is no candidate.
    pub fn choose(
        &mut self,
        choice: &ChoiceRequest<'_>,
        candidates: &[Candidate<'_>],
        now_ms: u64,
    ) -> Option<Choice> {
        let usable = self.usable(choice, candidates, now_ms);
        let mut considered = Vec::with_capacity(usable.len());
        let mut best: Option<usize> = None;
        let preferred = self.preferred_workers(choice, candidates, now_ms);
        for (candidate, wait_ms) in &usable {
            let worker = &candidate.upstream.name;
            let is_left_out = match choice.only_limited {
                true => !self.limits.is_limited(candidate.upstream),
                false => self.is_load_wasted(choice, candidate, &preferred),
            };
            if is_left_out {
                continue;
            }
            let is_preferred = preferred.contains(worker);
            let cost_ms = self.cost_ms(choice, candidate, is_preferred, now_ms) + *wait_ms as f64;
            considered.push((worker.clone(), cost_ms as u64));
            let last = considered.len() - 1;
            if best.is_none_or(|best| considered[last].1 < considered[best].1) {
                best = Some(last);
            }
        }
        let (worker, cost_ms) = considered.swap_remove(best?);
        let reason = if cost_ms as f64 >= UNHEALTHY_COST_MS {
            "no healthy worker"
        } else {
            "lowest predicted time"
        };
        let (chosen, wait_ms) =
            usable.iter().find(|(candidate, _)| candidate.upstream.name == worker)?;
        let estimate = self.estimate(choice, chosen, *wait_ms, now_ms);
        let prefix = self.prefix(choice, chosen.upstream, now_ms);
        let decision = route::Decision { worker, cost_ms, considered, reason };
        Some(Choice { decision, estimate, prefix })
    }

    /// Returns the candidates to which the request may be sent, with the time until then.
    fn usable<'a>(
        &mut self,
        choice: &ChoiceRequest<'_>,
        candidates: &[Candidate<'a>],
        now_ms: u64,
    ) -> Vec<(Candidate<'a>, u64)> {
        let mut usable = Vec::with_capacity(candidates.len());
        for candidate in candidates {
            if !self.is_eligible(choice, candidate.upstream, now_ms) {
                continue;
            }
            let permit = choice.permit.filter(|(worker, _)| **worker == candidate.upstream.name);
            let wait_ms = match permit {
                Some((_, wait_ms)) => Some(wait_ms),
                None => self.limits.wait_ms(candidate.upstream, now_ms),
            };
            let wait_ms = wait_ms.filter(|wait_ms| *wait_ms <= choice.max_permit_wait_ms);
            let Some(wait_ms) = wait_ms else { continue };
            usable.push((*candidate, wait_ms));
        }
        usable
    }

    /// Returns the preferred workers of the request's adapter. Limited workers without a permit count, since
    /// they get one; workers that back off do not.
    fn preferred_workers<'a>(
        &self,
        choice: &ChoiceRequest<'_>,
        candidates: &[Candidate<'a>],
        now_ms: u64,
    ) -> PreferredWorkers<'a> {
        let mut preferred = PreferredWorkers::default();
        let Some(adapter) = choice.adapter else { return preferred };
        for candidate in candidates {
            let upstream = candidate.upstream;
            if self.is_eligible(choice, upstream, now_ms) {
                preferred.add(adapter, &upstream.name, self.limits.is_limited(upstream));
            }
        }
        preferred
    }

    /// Returns whether a worker accepts new requests from this daemon and was not tried.
    fn is_eligible(
        &self,
        choice: &ChoiceRequest<'_>,
        upstream: &upstream::Upstream,
        now_ms: u64,
    ) -> bool {
        // Requests that wait for the end of a back-off would all be sent at once.
        !upstream.is_draining
            && !choice.excluded.contains(&upstream.name)
            && self.back_offs.wait_ms(upstream, now_ms) == 0
    }

    /// Returns whether a worker with a limit would load the adapter for hardly any other request, while
    /// there are workers without one.
    fn is_load_wasted(
        &self,
        choice: &ChoiceRequest<'_>,
        candidate: &Candidate<'_>,
        preferred: &PreferredWorkers<'_>,
    ) -> bool {
        let worker = &candidate.upstream.name;
        matches!(candidate.adapter, AdapterState::Absent { .. })
            && preferred.has_unlimited()
            && !preferred.contains(worker)
            && choice.permit.is_none_or(|(permitted, _)| permitted != worker)
            && self.limits.is_limited(candidate.upstream)
    }

    /// Returns why no candidate could be chosen, if it is because of what the workers state.
    ///
    /// Workers that were tried count as well: one that rejected the request may have stated for how
    /// long it wants no more.
    #[must_use]
    pub fn unavailability(
        &self,
        candidates: &[Candidate<'_>],
        now_ms: u64,
    ) -> Option<Unavailability> {
        let mut limits_per_s = 0.0;
        let mut back_off_ms = None;
        for candidate in candidates {
            let upstream = candidate.upstream;
            if upstream.is_draining {
                continue;
            }
            match self.back_offs.wait_ms(upstream, now_ms) {
                0 => limits_per_s += self.limits.limit_per_s(upstream).unwrap_or(0.0),
                wait_ms => back_off_ms = Some(back_off_ms.unwrap_or(wait_ms).min(wait_ms)),
            }
        }
        if limits_per_s > 0.0 {
            return Some(Unavailability::AtLimit { wait_ms: MS_PER_S / limits_per_s });
        }
        back_off_ms.map(|wait_ms| Unavailability::BackingOff { wait_ms: wait_ms as f64 })
    }

    fn cost_ms(
        &mut self,
        choice: &ChoiceRequest<'_>,
        candidate: &Candidate<'_>,
        is_preferred: bool,
        now_ms: u64,
    ) -> f64 {
        let upstream = candidate.upstream;
        let worker = &upstream.name;
        let (requests, _) = self.loads.outstanding(worker);
        let mut cost_ms = match choice.from.distance(&upstream.locality) {
            locality::Distance::SameFailureDomain => 0.0,
            locality::Distance::SameRegion => SAME_REGION_COST_MS,
            locality::Distance::OtherRegion => OTHER_REGION_COST_MS,
        };
        if choice.size.is_generation() {
            cost_ms += f64::from(requests) * GENERATION_COST_MS;
            cost_ms += self.queue_ms(upstream) + self.prefill_ms(choice, upstream, now_ms);
            // A request that does not fit preempts others or waits for their end.
            cost_ms += self.memory(choice, worker).wait_ms(choice.size.memory_tokens());
            cost_ms += choice.preference_ms(worker);
            let is_loading_worker = choice.loading_worker == Some(worker);
            cost_ms += if is_loading_worker && candidate.adapter != AdapterState::Resident {
                LOADING_COST_MS
            } else {
                self.load_cost_ms(choice, candidate.adapter, is_preferred, now_ms)
            };
        } else {
            let beyond = (requests + 1).saturating_sub(upstream.slots);
            cost_ms += f64::from(requests) * CALL_COST_MS;
            cost_ms += f64::from(beyond) * WAITING_CALL_COST_MS;
        }
        cost_ms + self.health_cost_ms(worker, now_ms)
    }

    /// Returns the time and price of a load, divided among the requests expected to use it.
    fn load_cost_ms(
        &self,
        choice: &ChoiceRequest<'_>,
        state: AdapterState,
        is_preferred: bool,
        now_ms: u64,
    ) -> f64 {
        let waiting_loads = match state {
            AdapterState::Resident => return 0.0,
            AdapterState::Unconfirmed => return CONFIRMATION_COST_MS,
            AdapterState::Loading => return LOADING_COST_MS,
            AdapterState::Absent { waiting_loads, .. } => waiting_loads,
        };
        let wait_ms = f64::from(waiting_loads) * WAITING_LOAD_COST_MS;
        if is_preferred {
            return PREFERRED_LOAD_COST_MS + wait_ms;
        }
        let uses = choice.adapter.map_or(0.0, |adapter| self.popularity.weight(adapter, now_ms));
        (STORE_LOAD_COST_MS / uses.max(1.0)).max(MIN_LOAD_COST_MS) + wait_ms
    }

    /// Returns the cost of a worker's failures, stall and high latency.
    fn health_cost_ms(&mut self, worker: &name::WorkerName, now_ms: u64) -> f64 {
        let stall_ms = self.loads.stall_ms(worker, now_ms);
        let mut cost_ms = stall_ms.saturating_sub(STALL_GRACE_MS) as f64;
        cost_ms += self.health.failures(worker, now_ms) * FAILURE_COST_MS;
        let is_failing = self.health.is_failing(worker, now_ms);
        if stall_ms > UNHEALTHY_STALL_MS || is_failing && !self.health.try_probe(worker, now_ms) {
            cost_ms += UNHEALTHY_COST_MS;
        }
        if self.latencies.is_straggler(worker, now_ms) && !self.latencies.try_probe(worker, now_ms)
        {
            cost_ms += FAILURE_COST_MS;
        }
        cost_ms
    }
}
