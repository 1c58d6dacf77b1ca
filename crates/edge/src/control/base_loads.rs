//! Loads of base models, which all holders schedule in the same order.

use indexmap::IndexSet;
use jasminetack_domain::ingress;
use jasminetack_domain::name;
use jasminetack_domain::placement;
use jasminetack_domain::upstream;

use super::control_state::ControlState;
use crate::dialect;

impl<Dialect> ControlState<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Returns the workers that may load their base model now.
    pub(super) fn due_base_loads(&mut self, now_ms: u64) -> IndexSet<name::WorkerName> {
        if !self.assignments.lacks_base_model() {
            return IndexSet::new();
        }
        let (lacking, workers, weight_store) = self.lacking_workers();
        self.base_loads.due(lacking, workers, weight_store, now_ms)
    }

    /// Updates the limit on concurrent loads with one that finished on an assigned worker.
    pub(super) fn record_base_load(
        &mut self,
        worker: &name::WorkerName,
        started_ms: u64,
        others_at_start: usize,
        now_ms: u64,
    ) {
        let Some(store_ms) = self.lease_manager.store_clock().upper_bound_ms(now_ms) else {
            return;
        };
        let (lacking, _, weight_store) = self.lacking_workers();
        let nominal_ms = weight_store.load_ms;
        let load = placement::FinishedBaseLoad {
            took_ms: now_ms.saturating_sub(started_ms),
            loads_at_start: 1 + others_at_start,
            loads_at_end: 1 + lacking
                .iter()
                .filter(|other| other.is_loading && !other.has_local_copy)
                .count(),
        };
        self.base_loads.record(load, nominal_ms, store_ms);
        let (took_ms, at_start, at_end) = (load.took_ms, load.loads_at_start, load.loads_at_end);
        let limit = self.base_loads.limit().map_or(0.0, |limit| limit.loads);
        spdlog::info!(
            "base-loaded worker={worker} took_ms={took_ms} nominal_ms={nominal_ms} loads_at_start={at_start} loads_at_end={at_end} limit={limit:.1}"
        );
    }

    /// Returns the engines without their base model, the number of all engines, and the weight store of
    /// the slowest load.
    fn lacking_workers(&self) -> (Vec<placement::LackingWorker>, usize, placement::WeightStore) {
        let mut weight_store = placement::WeightStore { load_ms: 0, loads_per_s: 0.0 };
        let (mut lacking, mut workers) = (Vec::new(), 0);
        let Some(ingress) = self.catalog.ingress() else { return (lacking, workers, weight_store) };
        for upstream in self.catalog.directory().iter() {
            let Some(store) = weight_store_of(ingress, upstream) else { continue };
            workers += 1;
            if upstream.is_draining || !upstream.base_models.is_empty() {
                continue;
            }
            let summary = self.newest_summary(&upstream.name).unwrap_or_default();
            if summary.has_base_model {
                continue;
            }
            if store.load_ms >= weight_store.load_ms {
                weight_store = store;
            }
            lacking.push(placement::LackingWorker {
                name: upstream.name.clone(),
                started_unix_ms: upstream.started_unix_ms,
                is_loading: summary.is_loading_base_model,
                has_local_copy: self.local_copies.contains(upstream),
            });
        }
        (lacking, workers, weight_store)
    }

    /// Returns the state of a worker as known to its holder.
    fn newest_summary(&self, worker: &name::WorkerName) -> Option<placement::Summary> {
        if let Some(assignment) = self.assignments.get(worker) {
            return Some(assignment.summary());
        }
        self.peers.holder(worker).map(|(_, _, _, summary)| summary.clone())
    }
}

/// Returns the weight store of an engine's base model; `None` for other services.
fn weight_store_of(
    ingress: &ingress::Ingress,
    upstream: &upstream::Upstream,
) -> Option<placement::WeightStore> {
    let engine = ingress.service(&upstream.service)?.engine.as_ref()?;
    let load_ms = engine.base_models.first()?.load_ms;
    Some(placement::WeightStore { load_ms, loads_per_s: engine.loads_per_s })
}
