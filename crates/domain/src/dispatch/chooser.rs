//! Choice among workers by the predicted time to the first part of the answer.

use super::{
    AdapterState, Candidate, GenerationTime, Health, Loads, Popularity, PromptCacheIndex,
    PromptSegment, RequestSize,
};
use crate::member;
use crate::name;
use crate::place;
use crate::route;

/// Time of a load at the worker that an adapter prefers, which is likely to have a copy of it.
const PREFERRED_LOAD_COST_MS: f64 = 200.0;
/// Time of a load from the weight store, and its price expressed as time.
const STORE_LOAD_COST_MS: f64 = 2000.0;
/// Least cost of one more copy of a popular adapter: the time of its load.
const MIN_LOAD_COST_MS: f64 = 200.0;
/// Time left of a load that is under way, on average.
const LOADING_COST_MS: f64 = 130.0;
/// Two ways to the holder of a worker in another region, and the risk that the adapter is gone.
const CONFIRMATION_COST_MS: f64 = 80.0;
/// Time that each load that waits at a worker adds.
const WAITING_LOAD_COST_MS: f64 = 40.0;
/// Time that a generation in the batch adds to the steps of all others until it ends.
const GENERATION_COST_MS: f64 = 6.0;
/// Time that a call in flight adds at an application service.
const CALL_COST_MS: f64 = 4.0;
/// Time that a call beyond the places of an application service waits.
const WAITING_CALL_COST_MS: f64 = 20.0;
/// Prompt tokens that an engine reads in a millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 19.0;
/// Two ways between failure domains of one region, and the price of the bytes.
const SAME_REGION_COST_MS: f64 = 15.0;
/// Two ways between regions, and the price of the bytes, expressed as time.
const OTHER_REGION_COST_MS: f64 = 160.0;
/// Largest difference between two daemons' views of the same worker. What they know of its load is up
/// to a second old, so without it all would send to the same one.
const PREFERENCE_MS: u64 = 40;
/// Silence of a worker that is ordinary while it reads a long prompt.
const STALL_GRACE_MS: u64 = 350;
/// Cost of a recent failure, in the time that a repeated attempt takes.
const FAILURE_COST_MS: f64 = 300.0;
/// Cost that keeps a worker which fails or is silent behind every sound one.
const UNHEALTHY_COST_MS: f64 = 20_000.0;
/// Silence from which a worker counts as unsound.
const UNHEALTHY_STALL_MS: u64 = 1_500;

/// Chooses workers for requests and keeps what was observed of them.
#[derive(Clone, Debug, Default)]
pub struct Chooser {
    /// Requests in flight.
    pub loads: Loads,
    /// Recent failures.
    pub health: Health,
    /// Parts of prompts by worker.
    pub prompt_cache: PromptCacheIndex,
    /// Requests by adapter.
    pub popularity: Popularity,
    /// Times of generations.
    pub generation_time: GenerationTime,
    /// Times to the first part of an answer compared over the workers of a service.
    pub latencies: route::LatencyTracker,
}

/// What decides the choice for one request.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// The daemon.
    pub host: &'a name::HostName,
    /// Place of the daemon.
    pub from: &'a place::Place,
    /// Adapter that must answer.
    pub adapter: Option<&'a name::AdapterName>,
    /// Parts of the prompt.
    pub parts: &'a [PromptSegment],
    /// Work of the request.
    pub work: RequestSize,
    /// Worker that was asked to load the adapter for this request.
    pub demanded: Option<&'a name::WorkerName>,
    /// Workers that have had the request already.
    pub excluded: &'a [name::WorkerName],
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
    ) -> Option<route::Decision> {
        let mut considered = Vec::with_capacity(candidates.len());
        let mut best: Option<usize> = None;
        let preferred = preferred(choice, candidates);
        for candidate in candidates {
            let worker = &candidate.upstream.name;
            if candidate.upstream.is_draining || choice.excluded.contains(worker) {
                continue;
            }
            let is_preferred = preferred == Some(worker);
            let cost_ms = self.cost_ms(choice, candidate, is_preferred, now_ms);
            considered.push((worker.clone(), cost_ms as u64));
            let last = considered.len() - 1;
            if best.is_none_or(|best| considered[last].1 < considered[best].1) {
                best = Some(last);
            }
        }
        let (worker, cost_ms) = considered.swap_remove(best?);
        let reason = if cost_ms as f64 >= UNHEALTHY_COST_MS {
            "no sound worker"
        } else {
            "lowest predicted time"
        };
        Some(route::Decision { worker, cost_ms, considered, reason })
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
        let (requests, unread_tokens) = self.loads.outstanding(worker);
        let mut cost_ms = match choice.from.distance(&upstream.place) {
            place::Distance::SameFailureDomain => 0.0,
            place::Distance::SameRegion => SAME_REGION_COST_MS,
            place::Distance::OtherRegion => OTHER_REGION_COST_MS,
        };
        if choice.work.is_generation() {
            let kept =
                self.prompt_cache.cached_tokens(worker, choice.adapter, choice.parts, now_ms);
            let unread = f64::from(unread_tokens) + f64::from(choice.work.prompt_tokens)
                - f64::from(kept.min(choice.work.prompt_tokens));
            cost_ms += f64::from(requests) * GENERATION_COST_MS + unread / PREFILL_TOKENS_PER_MS;
            // One place becomes free in each such part of a run.
            let place_ms = self.generation_time.mean_ms() / f64::from(upstream.slots.max(1));
            cost_ms += f64::from((requests + 1).saturating_sub(upstream.slots)) * place_ms;
            cost_ms += choice.preference_ms(worker);
            let is_demanded = choice.demanded == Some(worker);
            cost_ms += if is_demanded && candidate.adapter != AdapterState::Resident {
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

    /// Returns the time and the price of a load, shared among the requests that will use it.
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
            AdapterState::Absent { waiting_loads } => waiting_loads,
        };
        let wait_ms = f64::from(waiting_loads) * WAITING_LOAD_COST_MS;
        if is_preferred {
            return PREFERRED_LOAD_COST_MS + wait_ms;
        }
        let uses = choice.adapter.map_or(0.0, |adapter| self.popularity.weight(adapter, now_ms));
        (STORE_LOAD_COST_MS / uses.max(1.0)).max(MIN_LOAD_COST_MS) + wait_ms
    }

    /// Returns what failures, silence and slowness of a worker add.
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

/// Returns the worker to which an adapter belongs unless there is a reason against it; every daemon
/// that knows the same workers finds the same one.
fn preferred<'a>(
    choice: &ChoiceRequest<'_>,
    candidates: &[Candidate<'a>],
) -> Option<&'a name::WorkerName> {
    let adapter = choice.adapter?.as_str();
    let usable = candidates.iter().filter(|candidate| {
        !candidate.upstream.is_draining && !choice.excluded.contains(&candidate.upstream.name)
    });
    let workers = usable.map(|candidate| &candidate.upstream.name);
    workers.max_by_key(|worker| member::rendezvous::score(adapter, worker.as_str()))
}
