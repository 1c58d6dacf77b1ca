//! Workers assigned to this daemon.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use jasminetack_domain::adapter;
use jasminetack_domain::ingress;
use jasminetack_domain::name;
use jasminetack_domain::placement;
use jasminetack_domain::upstream;
use jasminetack_wire::fleet;

use super::{Assignment, WorkerCall, WorkerJob};
use crate::dialect;

/// Delay before a report is requested again from the same worker.
const REPORT_RETRY_DELAY_MS: u64 = 400;

/// Workers assigned to this daemon, which sends them orders as their holder.
#[derive(Debug, Default)]
pub struct Assignments {
    assignments: IndexMap<name::WorkerName, Assignment>,
    load_limit: placement::ConcurrentLoadLimit,
}

impl Assignments {
    /// Iterates over the assignments.
    pub fn iter(&self) -> impl Iterator<Item = (&name::WorkerName, &Assignment)> {
        self.assignments.iter()
    }

    /// Iterates over the assignments mutably.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&name::WorkerName, &mut Assignment)> {
        self.assignments.iter_mut()
    }

    /// Returns the assignment of a worker.
    pub fn get(&self, worker: &name::WorkerName) -> Option<&Assignment> {
        self.assignments.get(worker)
    }

    /// Returns the assignment of a worker mutably.
    pub fn get_mut(&mut self, worker: &name::WorkerName) -> Option<&mut Assignment> {
        self.assignments.get_mut(worker)
    }

    /// Returns the number of assigned workers.
    pub fn len(&self) -> usize {
        self.assignments.len()
    }

    /// Adds a worker that this daemon has claimed.
    pub fn add(
        &mut self,
        upstream: Arc<upstream::Upstream>,
        fencing_token: u64,
        unrecorded: placement::UnrecordedOrders,
    ) {
        let worker = &upstream.name;
        let placement::UnrecordedOrders { until_ms, restart_until_ms } = unrecorded;
        spdlog::info!(
            "hold-begins worker={worker} fence={fencing_token} late_until_ms={until_ms} restart_until_ms={restart_until_ms}"
        );
        self.assignments
            .insert(worker.clone(), Assignment::new(upstream, fencing_token, unrecorded));
    }

    /// Removes the assignment of a worker.
    pub fn remove(&mut self, worker: &name::WorkerName, reason: &str) -> Option<Assignment> {
        let assignment = self.assignments.shift_remove(worker)?;
        let fencing_token = assignment.fencing_token;
        spdlog::info!("hold-ends worker={worker} fence={fencing_token} reason={reason}");
        Some(assignment)
    }

    /// Applies a changed entry of a worker; `is_restarted` means that the worker lost its state.
    pub fn apply_entry(
        &mut self,
        upstream: &Arc<upstream::Upstream>,
        is_restarted: bool,
        now_ms: u64,
    ) {
        let Some(assignment) = self.assignments.get_mut(&upstream.name) else { return };
        assignment.upstream = Arc::clone(upstream);
        if is_restarted {
            assignment.reset(now_ms);
            return;
        }
        if let Some(placement) = &mut assignment.placement
            && upstream.base_models.contains(&placement.limits().base_model)
        {
            placement.mark_base_model_loaded(now_ms);
        }
    }

    /// Applies a worker's report, which is `None` if the worker sent no valid one; returns what became of
    /// it, as used in metrics.
    pub fn apply_report(
        &mut self,
        worker: &name::WorkerName,
        fencing_token: u64,
        report: Option<dialect::WorkerReport>,
        ingress: Option<&Arc<ingress::Ingress>>,
        now_ms: u64,
    ) -> &'static str {
        let Some(assignment) = self.assignments.get_mut(worker) else { return "unused" };
        let Some(report) = report else { return "failed" };
        if assignment.fencing_token != fencing_token {
            return "unused";
        }
        let state = placement::WorkerState::from(&report);
        let sequence = state.sequence.unwrap_or(0);
        if let Some(placement) = &mut assignment.placement {
            let outcome = placement.apply_report(&state, now_ms);
            let text = outcome.as_str();
            spdlog::info!(
                "worker-reported-again worker={worker} fence={fencing_token} sequence={sequence} outcome={text}"
            );
            if let placement::ReportOutcome::Settled { order, is_executed } = outcome {
                let result = if is_executed { "holds" } else { "not-executed" };
                spdlog::info!(
                    "order worker={worker} fence={fencing_token} order={order} result={result} source=report"
                );
            }
            return text;
        }
        let profile = ingress.and_then(|ingress| ingress.service(&assignment.upstream.service));
        let Some(engine) = profile.and_then(|profile| profile.engine.as_ref()) else {
            return "unused";
        };
        let Some(first) = engine.base_models.first() else { return "unused" };
        let base_model = report.base_models.first().unwrap_or(&first.name).clone();
        let capacity = engine.adapter_capacity(std::slice::from_ref(&base_model));
        let limits = placement::Limits { adapter_capacity: capacity, base_model };
        let has_base = state.has_base_model;
        let (held, loading) = (state.resident.len(), state.loading.len());
        spdlog::info!(
            "worker-reported worker={worker} fence={fencing_token} has_base={has_base} adapters={held} loading={loading} capacity={capacity} sequence={sequence}"
        );
        let placement = placement::Placement::new(limits, &state, assignment.unrecorded, now_ms);
        assignment.placement = Some(placement);
        "first"
    }

    /// Applies the result of an order; returns the start of the base model load that it completed, if
    /// any, and the number of other workers that were loading then.
    pub fn apply_order_result(
        &mut self,
        worker: &name::WorkerName,
        fencing_token: u64,
        order: &placement::Order,
        result: placement::OrderResult,
        now_ms: u64,
    ) -> Option<(u64, usize)> {
        let assignment = self
            .assignments
            .get_mut(worker)
            .filter(|assignment| assignment.fencing_token == fencing_token)?;
        let placement = assignment.placement.as_mut()?;
        let base_load = placement.base_load();
        let support = placement.precondition_support();
        if let Some(load) = placement.apply_order_result(order, result, now_ms) {
            self.load_limit.record(load);
            let (took_ms, in_transit) = (load.took_ms, load.concurrent_loads);
            let limit = self.load_limit.limit();
            spdlog::info!(
                "loaded worker={worker} order={order} took_ms={took_ms} in_transit={in_transit} limit={limit}"
            );
        }
        let base_load = base_load.filter(|_| placement.has_base_model());
        if placement.precondition_support() != support {
            let support = placement.precondition_support().as_str();
            spdlog::info!("preconditions worker={worker} fence={fencing_token} support={support}");
        }
        let text = result.as_str();
        // A load is polled until it finishes; intermediate results are logged at debug level only.
        if result == placement::OrderResult::Accepted {
            spdlog::debug!(
                "order worker={worker} fence={fencing_token} order={order} result={text}"
            );
            return base_load;
        }
        spdlog::info!("order worker={worker} fence={fencing_token} order={order} result={text}");
        base_load
    }

    /// Adds demand for an adapter; returns whether the worker is assigned to this daemon.
    pub fn add_demand(
        &mut self,
        worker: &name::WorkerName,
        request: &fleet::LoadRequest,
        now_ms: u64,
    ) -> bool {
        let Some(assignment) = self.assignments.get_mut(worker) else { return false };
        let Some(placement) = &mut assignment.placement else { return true };
        let adapter = request.adapter();
        if request.is_missing {
            placement.mark_missing(adapter.name(), now_ms);
        }
        placement.add_demand(&adapter, request.is_new, now_ms);
        true
    }

    /// Requests a new version of an adapter on all assigned workers.
    pub fn request_version(&mut self, adapter: &adapter::AdapterRef, now_ms: u64) {
        for assignment in self.assignments.values_mut() {
            if let Some(placement) = &mut assignment.placement {
                placement.request_version(adapter, now_ms);
            }
        }
    }

    /// Logs the number of adapter slots of each worker by state.
    pub fn log_slot_counts(&self) {
        for (worker, assignment) in &self.assignments {
            let Some(placement) = &assignment.placement else { continue };
            let counts = placement.counts();
            let (resident, in_use) = (counts.resident, counts.in_use);
            let (loading, unloading, waiting) = (counts.loading, counts.unloading, counts.waiting);
            spdlog::info!(
                "places worker={worker} resident={resident} in_use={in_use} loading={loading} unloading={unloading} waiting={waiting}"
            );
        }
    }

    /// Returns the number of adapter loads in flight on assigned workers.
    pub fn loads_in_flight(&self) -> usize {
        let placements =
            self.assignments.values().filter_map(|assignment| assignment.placement.as_ref());
        placements.map(placement::Placement::loads_in_flight).sum()
    }

    /// Returns whether a worker has not loaded its base model.
    pub fn lacks_base_model(&self) -> bool {
        let placements =
            self.assignments.values().filter_map(|assignment| assignment.placement.as_ref());
        placements.into_iter().any(|placement| !placement.has_base_model())
    }

    /// Decides which calls to make now; `other_loads` counts the adapter loads in flight on workers
    /// of other daemons, `base_loads` lists the workers that may load their base model, and
    /// `other_base_loads` counts those that do.
    pub fn plan(
        &mut self,
        other_loads: usize,
        base_loads: &IndexSet<name::WorkerName>,
        other_base_loads: usize,
        min_idle_ms: u64,
        now_ms: u64,
    ) -> Vec<WorkerJob> {
        let all = other_loads + self.loads_in_flight();
        let limit = self.load_limit.limit();
        let mut jobs = Vec::new();
        for assignment in self.assignments.values_mut() {
            let (upstream, fencing_token) = (&assignment.upstream, assignment.fencing_token);
            let job = |call| WorkerJob { upstream: Arc::clone(upstream), fencing_token, call };
            let placement = assignment.placement.as_mut();
            if placement.as_ref().is_none_or(|placement| placement.needs_report(now_ms))
                && now_ms.saturating_sub(assignment.report_requested_ms) >= REPORT_RETRY_DELAY_MS
            {
                assignment.report_requested_ms = now_ms;
                jobs.push(job(WorkerCall::Report));
            }
            let Some(placement) = placement else { continue };
            if upstream.is_draining {
                continue;
            }
            let others_in_flight = all - placement.loads_in_flight().min(all);
            let may_load_base_model = base_loads.contains(&upstream.name);
            let fleet = placement::FleetLoads {
                others_in_flight,
                limit,
                may_load_base_model,
                other_base_loads,
            };
            if let Some(order) = placement.plan(fleet, min_idle_ms, now_ms) {
                jobs.push(job(WorkerCall::Order(order)));
            }
        }
        jobs
    }
}
