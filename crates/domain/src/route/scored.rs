//! The product's routing policy.

use indexmap::IndexMap;

use super::{Decision, Policy, RouteRequest, WorkerView};
use crate::name;
use crate::place;

const LOAD_COST_MS: u64 = 250;
const OUTSTANDING_COST_MS: u64 = 40;
const SAME_REGION_COST_MS: u64 = 1;
const OTHER_REGION_COST_MS: u64 = 200;

/// Chooses the worker with the lowest predicted time to the first token.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scored;

impl Scored {
    fn cost_ms(request: &RouteRequest<'_>, worker: &WorkerView) -> u64 {
        let load_ms = if worker.loaded.contains(request.adapter) { 0 } else { LOAD_COST_MS };
        let hop_ms = match request.from.distance(&worker.place) {
            place::Distance::SameFailureDomain => 0,
            place::Distance::SameRegion => SAME_REGION_COST_MS,
            place::Distance::OtherRegion => OTHER_REGION_COST_MS,
        };
        load_ms + hop_ms + u64::from(worker.outstanding) * OUTSTANDING_COST_MS
    }
}

impl Policy for Scored {
    fn choose(
        &self,
        request: &RouteRequest<'_>,
        workers: &IndexMap<name::WorkerName, WorkerView>,
        _now_ms: u64,
    ) -> Option<Decision> {
        let mut considered = Vec::new();
        for worker in workers.values() {
            if worker.leaving || worker.base_model != *request.base_model {
                continue;
            }
            if worker.owner.is_none() || request.excluded.contains(&worker.name) {
                continue;
            }
            considered.push((worker.name.clone(), Self::cost_ms(request, worker)));
        }
        let best = considered.iter().min_by_key(|(_, cost_ms)| *cost_ms)?.clone();
        considered.retain(|(name, _)| *name != best.0);
        Some(Decision {
            worker: best.0,
            cost_ms: best.1,
            considered,
            reason: "lowest predicted time to first token",
        })
    }
}
