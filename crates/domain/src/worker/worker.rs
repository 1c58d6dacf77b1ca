//! The aggregate of one owned model engine.

use indexmap::IndexMap;

use super::adapter_history::AdapterHistory;
use super::planner::Planner;
use super::queue::Queue;
use super::running_request::RunningRequest;
use super::service_time::ServiceTime;
use super::slots::{LoadOutcome, Slots};
use super::{
    EvictionPolicy, InstanceListing, Job, Limits, LoadFailure, LoadReport, Plan, QueueDiscipline,
    Reconciliation, Refusal, RefusalReason, RefusedJob, Slot, StartOrder,
};
use crate::adapter;
use crate::lease;
use crate::name;

/// Lower limit of the suggested retry delay; earlier retries would find the same queue.
const MIN_RETRY_AFTER_MS: u64 = 100;
/// Upper limit of pending prefetches.
const MAX_PREFETCHES: usize = 16;

/// One owned model engine: queue, slots, pins and requests in flight.
///
/// Invariants: a request is either queued or running; an instance with a running request is not
/// unloaded; no load is ordered beyond the engine's slots.
#[derive(Clone, Debug)]
pub struct Worker<Discipline, Policy> {
    pub(super) limits: Limits,
    eviction_policy: Policy,
    pub(super) queue: Queue<Discipline>,
    pub(super) running: IndexMap<name::RequestId, RunningRequest>,
    pub(super) slots: Slots,
    history: AdapterHistory,
    pub(super) service_time: ServiceTime,
    prefetches: Vec<adapter::AdapterRef>,
    is_available: bool,
    is_closed: bool,
}

impl<Discipline, Policy> Worker<Discipline, Policy>
where
    Discipline: QueueDiscipline,
    Policy: EvictionPolicy,
{
    /// Creates the state of a newly acquired worker; no adapter is loaded or unloaded before a listing
    /// of the engine's instances is reconciled.
    pub fn new(
        grant: lease::Grant,
        limits: Limits,
        discipline: Discipline,
        eviction_policy: Policy,
    ) -> Self {
        Self {
            limits,
            eviction_policy,
            queue: Queue::new(discipline),
            running: IndexMap::new(),
            slots: Slots::new(grant),
            history: AdapterHistory::default(),
            service_time: ServiceTime::default(),
            prefetches: Vec::new(),
            is_available: true,
            is_closed: false,
        }
    }

    /// Predicts the cost of a request: its prompt and the expected output of the adapter.
    #[must_use]
    pub fn predict_tokens(
        &self,
        adapter: &adapter::AdapterRef,
        prompt_bytes: u64,
        token_limit: Option<u32>,
    ) -> u64 {
        self.history.predict_tokens(adapter, prompt_bytes, token_limit)
    }

    /// Queues a request; returns the waiting request that it displaces from a full queue.
    ///
    /// # Errors
    ///
    /// Refuses the request if the worker is closed or unavailable, the request id is in use, the
    /// adapter is in load backoff, the predicted wait exceeds the deadline or the longest queue wait,
    /// or the queue is full.
    pub fn submit(&mut self, job: Job, now_ms: u64) -> Result<Option<RefusedJob>, Refusal> {
        let refuse = |reason, retry_after_ms: u64| {
            Err(Refusal { reason, retry_after_ms: retry_after_ms.max(MIN_RETRY_AFTER_MS) })
        };
        if self.is_closed {
            return refuse(RefusalReason::NotOwner, 0);
        }
        if !self.is_available {
            return refuse(RefusalReason::Unavailable, 0);
        }
        if self.queue.contains(&job.request_id) || self.running.contains_key(&job.request_id) {
            return refuse(RefusalReason::Duplicate, 0);
        }
        self.history.record_request(&job.adapter, now_ms);
        let is_loaded = self.slots.find_usable(&job.adapter).is_some();
        let backoff_ms = self.history.remaining_backoff_ms(&job.adapter, now_ms);
        if !is_loaded && backoff_ms > 0 {
            return refuse(RefusalReason::LoadFailed, backoff_ms);
        }
        let wait_ms = self.predicted_wait_ms(&job, now_ms);
        let allowed_ms = job.deadline_ms.saturating_sub(now_ms).min(self.limits.max_queue_wait_ms);
        if wait_ms > allowed_ms || job.deadline_ms <= now_ms {
            return refuse(RefusalReason::WaitExceedsDeadline, wait_ms.saturating_sub(allowed_ms));
        }
        let mut displaced = None;
        if self.queue.len() >= self.limits.max_queue_length {
            let Some(displaced_id) = self.queue.select_displaced(&job) else {
                return refuse(self.queue.refusal_reason(&job), wait_ms);
            };
            let retry_after_ms = wait_ms.max(MIN_RETRY_AFTER_MS);
            let refusal = Refusal { reason: RefusalReason::AboveShare, retry_after_ms };
            displaced = self.queue.remove(&displaced_id).map(|job| RefusedJob { job, refusal });
        }
        self.queue.push(job);
        Ok(displaced)
    }

    /// Starts waiting requests whose adapter is loaded while batch places are free; pins their
    /// instances.
    pub fn start_ready(&mut self, now_ms: u64) -> Vec<StartOrder> {
        let mut starts = Vec::new();
        while !self.is_closed && self.is_available && self.running.len() < self.limits.batch_places
        {
            let long_running = self.running.values().filter(|running| running.is_long).count();
            let max_long_running =
                self.queue.discipline().max_long_running(self.limits.batch_places);
            let may_start_long = long_running < max_long_running;
            let (slots, limits) = (&self.slots, &self.limits);
            let is_startable = |job: &Job| {
                job.deadline_ms > now_ms
                    && (may_start_long || job.cost_tokens <= limits.long_work_tokens)
                    && slots.find_usable(&job.adapter).is_some()
            };
            let Some(job) = self.queue.take_next(is_startable, now_ms) else { break };
            let Some(slot) = self.slots.find_usable(&job.adapter) else { break };
            let instance = slot.instance().clone();
            self.slots.pin(&instance, now_ms);
            starts.push(StartOrder {
                request_id: job.request_id.clone(),
                instance: instance.clone(),
                engine_priority: self.queue.discipline().engine_priority(job.class),
                waited_ms: job.waited_ms(now_ms),
            });
            let is_long = job.cost_tokens > self.limits.long_work_tokens;
            let running = RunningRequest { job, instance, started_ms: now_ms, is_long };
            self.running.insert(running.job.request_id.clone(), running);
        }
        starts
    }

    /// Ends a running request: releases its batch place and pin.
    ///
    /// `output_tokens` is `None` if the request did not complete; it then updates no statistics.
    pub fn finish(
        &mut self,
        request_id: &name::RequestId,
        output_tokens: Option<u64>,
        now_ms: u64,
    ) {
        let Some(running) = self.running.swap_remove(request_id) else { return };
        self.slots.unpin(&running.instance, now_ms);
        if let Some(output_tokens) = output_tokens {
            let duration_ms = now_ms.saturating_sub(running.started_ms);
            self.service_time.record(duration_ms, running.job.cost_tokens);
            self.history.record_output(&running.job.adapter, output_tokens);
        }
    }

    /// Requeues a request that the engine did not run because it does not hold the instance; the
    /// instance is loaded again.
    ///
    /// Returns the request as refused if the worker is closed or unavailable.
    pub fn instance_missing(
        &mut self,
        request_id: &name::RequestId,
        now_ms: u64,
    ) -> Option<RefusedJob> {
        let running = self.running.swap_remove(request_id)?;
        self.slots.unpin(&running.instance, now_ms);
        self.slots.remove_missing(&running.instance);
        if let Some(refusal) = self.unavailable_refusal() {
            return Some(RefusedJob { job: running.job, refusal });
        }
        self.queue.push(running.job);
        None
    }

    /// Removes a waiting request; returns `false` if it does not wait. A running request must be
    /// cancelled at the engine.
    pub fn cancel(&mut self, request_id: &name::RequestId) -> bool {
        self.queue.remove(request_id).is_some()
    }

    /// Refuses waiting requests whose deadline or longest queue wait has passed.
    pub fn expire(&mut self, now_ms: u64) -> Vec<RefusedJob> {
        let max_wait_ms = self.limits.max_queue_wait_ms;
        let is_expired =
            |job: &Job| job.deadline_ms <= now_ms || job.waited_ms(now_ms) >= max_wait_ms;
        let expired = self.queue.remove_all(is_expired);
        let refused = expired.into_iter().map(|job| {
            let reason = if job.deadline_ms <= now_ms {
                RefusalReason::DeadlinePassed
            } else {
                RefusalReason::WaitedTooLong
            };
            RefusedJob { job, refusal: Refusal { reason, retry_after_ms: MIN_RETRY_AFTER_MS } }
        });
        refused.collect()
    }

    /// Selects at most `max_loads` adapters to load and the instances to unload for them.
    pub fn plan(&mut self, max_loads: usize, now_ms: u64) -> Plan {
        if self.is_closed || !self.is_available || !self.slots.is_reconciled() {
            return Plan::default();
        }
        let planner = Planner {
            slots: &mut self.slots,
            jobs: self.queue.jobs(),
            history: &self.history,
            eviction_policy: &self.eviction_policy,
            slot_count: self.limits.slots,
            max_loads,
            now_ms,
        };
        let plan = planner.plan(&mut self.prefetches);
        self.recount_pins();
        plan
    }

    /// Requests a prefetch; the adapter is loaded only into a slot that no waiting request needs.
    pub fn prefetch(&mut self, adapter: adapter::AdapterRef) {
        if self.prefetches.len() < MAX_PREFETCHES && !self.prefetches.contains(&adapter) {
            self.prefetches.push(adapter);
        }
    }

    /// Records a successful load.
    pub fn load_succeeded(&mut self, instance: &adapter::InstanceName, now_ms: u64) {
        if let Some(adapter) = self.slots.end_load(instance, LoadOutcome::Loaded, now_ms) {
            self.history.load_succeeded(&adapter);
        }
    }

    /// Records a failed load and refuses the requests that wait for it, so that they are routed to
    /// another worker.
    pub fn load_failed(
        &mut self,
        instance: &adapter::InstanceName,
        failure: LoadFailure,
        now_ms: u64,
    ) -> Vec<RefusedJob> {
        let result = match failure {
            LoadFailure::Refused => LoadOutcome::NotLoaded,
            LoadFailure::Unknown => LoadOutcome::Uncertain,
        };
        let Some(adapter) = self.slots.end_load(instance, result, now_ms) else {
            return Vec::new();
        };
        self.history.load_failed(&adapter, now_ms);
        let retry_after_ms = self.history.remaining_backoff_ms(&adapter, now_ms);
        let refusal = Refusal { reason: RefusalReason::LoadFailed, retry_after_ms };
        let waiting = self.queue.remove_all(|job| job.adapter == adapter);
        waiting.into_iter().map(|job| RefusedJob { job, refusal }).collect()
    }

    /// Records the end of an unload order; a failed one is repeated.
    pub fn unload_finished(
        &mut self,
        instance: &adapter::InstanceName,
        is_done: bool,
        now_ms: u64,
    ) {
        self.slots.end_unload(instance, is_done, now_ms);
    }

    /// Returns the generation to pass with a listing that is requested now.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.slots.generation()
    }

    /// Reconciles the slots with the instances that the engine lists.
    pub fn reconcile(&mut self, listing: &InstanceListing, now_ms: u64) -> Reconciliation {
        let reconciliation = self.slots.reconcile(listing, now_ms);
        self.recount_pins();
        reconciliation
    }

    /// Records that the engine acknowledged an order with this owner's fencing token.
    pub fn order_acknowledged(&mut self, now_ms: u64) {
        self.slots.order_acknowledged(now_ms);
    }

    /// Applies a load report of the engine.
    pub fn apply_load_report(&mut self, report: &LoadReport) {
        self.slots.apply_load_report(report);
    }

    /// Records that the owner with a fencing token and all earlier owners ended or finished.
    pub fn former_owner_ended(&mut self, fencing: adapter::FencingToken) {
        self.slots.former_owner_ended(fencing);
    }

    /// Sets the capacity that the engine reports.
    pub fn set_capacity(&mut self, slots: usize, batch_places: usize) {
        self.limits.slots = slots;
        self.limits.batch_places = batch_places;
    }

    /// Sets whether the engine is available; waiting requests are refused when it is not.
    pub fn set_available(&mut self, is_available: bool) -> Vec<RefusedJob> {
        self.is_available = is_available;
        self.refuse_all()
    }

    /// Ends the ownership: waiting requests are refused, running ones finish.
    pub fn close(&mut self) -> Vec<RefusedJob> {
        self.is_closed = true;
        self.refuse_all()
    }

    /// Returns whether the ownership ended, no request runs and no order is in flight.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.is_closed && self.running.is_empty() && !self.slots.has_orders_in_flight()
    }

    /// Returns whether the worker accepts requests.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.is_closed && self.is_available
    }

    /// Returns the number of waiting and running requests.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn queue_length(&self) -> usize {
        self.queue.len()
    }

    /// Returns the occupied slots.
    #[must_use]
    pub fn slots(&self) -> &[Slot] {
        self.slots.all()
    }

    fn refuse_all(&mut self) -> Vec<RefusedJob> {
        let Some(refusal) = self.unavailable_refusal() else { return Vec::new() };
        let waiting = self.queue.remove_all(|_| true);
        waiting.into_iter().map(|job| RefusedJob { job, refusal }).collect()
    }

    fn unavailable_refusal(&self) -> Option<Refusal> {
        let reason = match (self.is_closed, self.is_available) {
            (true, _) => RefusalReason::NotOwner,
            (false, false) => RefusalReason::Unavailable,
            (false, true) => return None,
        };
        Some(Refusal { reason, retry_after_ms: MIN_RETRY_AFTER_MS })
    }

    fn recount_pins(&mut self) {
        let running = &self.running;
        self.slots.recount_pins(|instance| {
            let pins = running.values().filter(|running| running.instance == *instance).count();
            u32::try_from(pins).unwrap_or(u32::MAX)
        });
    }
}
