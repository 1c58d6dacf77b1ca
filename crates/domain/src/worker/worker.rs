//! The aggregate of one owned model engine.

use indexmap::IndexMap;

use super::history::History;
use super::pace::Pace;
use super::planner::Planner;
use super::queue::Queue;
use super::running::Running;
use super::slots::{SlotStateAfterLoad, Slots};
use super::{
    EvictionPolicy, InstanceListing, Job, Limits, LoadFailure, LoadReport, Plan, QueueDiscipline,
    Reconciliation, Refusal, RefusalReason, RefusedJob, Slot, StartOrder,
};
use crate::adapter;
use crate::lease;
use crate::name;

/// Time of one load while the weight store is not saturated.
const LOAD_MS: u64 = 250;
/// Shortest advice to callers; sooner retries find the same queue.
const MIN_RETRY_AFTER_MS: u64 = 100;
/// Interval of planning again while a request waits for a slot.
const REPLAN_MS: u64 = 100;
/// Adapters that may be asked for in advance.
const MAX_PREFETCHES: usize = 16;

/// One owned model engine: queue, slots, pins and requests in flight.
///
/// Invariants: a request is either queued or running; an instance with a running request is not
/// unloaded; no load is ordered beyond the engine's slots.
#[derive(Clone, Debug)]
pub struct Worker<Order, Value> {
    limits: Limits,
    value: Value,
    queue: Queue<Order>,
    running: IndexMap<name::RequestId, Running>,
    slots: Slots,
    history: History,
    pace: Pace,
    prefetches: Vec<adapter::AdapterRef>,
    is_available: bool,
    is_closed: bool,
}

impl<Order, Value> Worker<Order, Value>
where
    Order: QueueDiscipline,
    Value: EvictionPolicy,
{
    /// Creates the state of a worker that was just acquired; nothing is loaded or unloaded before
    /// the engine's listing is adopted.
    pub fn new(grant: lease::Grant, limits: Limits, order: Order, value: Value) -> Self {
        Self {
            limits,
            value,
            queue: Queue::new(order),
            running: IndexMap::new(),
            slots: Slots::new(grant),
            history: History::default(),
            pace: Pace::default(),
            prefetches: Vec::new(),
            is_available: true,
            is_closed: false,
        }
    }

    /// Predicts the cost of a request: its prompt and the output expected of the adapter.
    #[must_use]
    pub fn predict_tokens(
        &self,
        adapter: &adapter::AdapterRef,
        prompt_bytes: u64,
        token_limit: Option<u32>,
    ) -> u64 {
        self.history.predict_tokens(adapter, prompt_bytes, token_limit)
    }

    /// Queues a request; returns a waiting request that gives way to it.
    ///
    /// # Errors
    ///
    /// Refuses the request when it cannot be served before its deadline or the queue is full.
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
        self.history.asked(&job.adapter, now_ms);
        let is_loaded = self.slots.usable(&job.adapter).is_some();
        let backoff_ms = self.history.backoff_left_ms(&job.adapter, now_ms);
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
            let Some(loser) = self.queue.displaced_by(&job) else {
                return refuse(self.queue.full_reason(&job), wait_ms);
            };
            let retry_after_ms = wait_ms.max(MIN_RETRY_AFTER_MS);
            let refusal = Refusal { reason: RefusalReason::AboveShare, retry_after_ms };
            displaced = self.queue.remove(&loser).map(|job| RefusedJob { job, refusal });
        }
        self.queue.push(job);
        Ok(displaced)
    }

    /// Starts waiting requests whose adapter is loaded while batch places are free, and pins their
    /// instances.
    pub fn start_ready(&mut self, now_ms: u64) -> Vec<StartOrder> {
        let mut starts = Vec::new();
        while !self.is_closed && self.is_available && self.running.len() < self.limits.batch_places
        {
            let long_running = self.running.values().filter(|running| running.is_long).count();
            let max_long_running = self.queue.order().max_long_running(self.limits.batch_places);
            let may_start_long = long_running < max_long_running;
            let (slots, limits) = (&self.slots, &self.limits);
            let is_startable = |job: &Job| {
                job.deadline_ms > now_ms
                    && (may_start_long || job.cost_tokens <= limits.long_work_tokens)
                    && slots.usable(&job.adapter).is_some()
            };
            let Some(job) = self.queue.take_next(is_startable, now_ms) else { break };
            let Some(slot) = self.slots.usable(&job.adapter) else { break };
            let instance = slot.instance().clone();
            self.slots.pin(&instance, now_ms);
            starts.push(StartOrder {
                request_id: job.request_id.clone(),
                instance: instance.clone(),
                engine_priority: self.queue.order().engine_priority(job.class),
                waited_ms: job.waited_ms(now_ms),
            });
            let is_long = job.cost_tokens > self.limits.long_work_tokens;
            let running = Running { job, instance, started_ms: now_ms, is_long };
            self.running.insert(running.job.request_id.clone(), running);
        }
        starts
    }

    /// Ends a request that ran: releases its place and pin.
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
            self.pace.record(duration_ms, running.job.cost_tokens);
            self.history.answered(&running.job.adapter, output_tokens);
        }
    }

    /// Puts a request back into the queue after the engine did not hold its instance, so that
    /// nothing ran; the instance is loaded again.
    ///
    /// Returns the request when the queue is closed to it; it is refused as not run.
    pub fn instance_missing(
        &mut self,
        request_id: &name::RequestId,
        now_ms: u64,
    ) -> Option<RefusedJob> {
        let running = self.running.swap_remove(request_id)?;
        self.slots.unpin(&running.instance, now_ms);
        self.slots.missing(&running.instance);
        if let Some(refusal) = self.closed_refusal() {
            return Some(RefusedJob { job: running.job, refusal });
        }
        self.queue.push(running.job);
        None
    }

    /// Removes a request that waits; `false` when it does not wait, and has to be cancelled at the
    /// engine if it runs.
    pub fn cancel(&mut self, request_id: &name::RequestId) -> bool {
        self.queue.remove(request_id).is_some()
    }

    /// Refuses waiting requests whose deadline or longest wait has passed.
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

    /// Decides which adapters to load, at most `max_loads`, and which instances to unload for them.
    pub fn plan(&mut self, max_loads: usize, now_ms: u64) -> Plan {
        if self.is_closed || !self.is_available || !self.slots.is_listed() {
            return Plan::default();
        }
        let planner = Planner {
            slots: &mut self.slots,
            jobs: self.queue.jobs(),
            history: &self.history,
            value: &self.value,
            slot_count: self.limits.slots,
            max_loads,
            now_ms,
        };
        let plan = planner.plan(&mut self.prefetches);
        self.recount_pins();
        plan
    }

    /// Asks for an adapter in advance; it is loaded only into a slot that nothing else needs.
    pub fn prefetch(&mut self, adapter: adapter::AdapterRef) {
        if self.prefetches.len() < MAX_PREFETCHES && !self.prefetches.contains(&adapter) {
            self.prefetches.push(adapter);
        }
    }

    /// Takes in a successful load.
    pub fn load_succeeded(&mut self, instance: &adapter::InstanceName, now_ms: u64) {
        if let Some(adapter) = self.slots.end_load(instance, SlotStateAfterLoad::Loaded, now_ms) {
            self.history.load_succeeded(&adapter);
        }
    }

    /// Takes in a failed load; the requests that wait for it are refused, so that they go to
    /// another worker.
    pub fn load_failed(
        &mut self,
        instance: &adapter::InstanceName,
        failure: LoadFailure,
        now_ms: u64,
    ) -> Vec<RefusedJob> {
        let result = match failure {
            LoadFailure::Refused => SlotStateAfterLoad::Empty,
            LoadFailure::Unknown => SlotStateAfterLoad::Uncertain,
        };
        let Some(adapter) = self.slots.end_load(instance, result, now_ms) else {
            return Vec::new();
        };
        self.history.load_failed(&adapter, now_ms);
        let retry_after_ms = self.history.backoff_left_ms(&adapter, now_ms);
        let refusal = Refusal { reason: RefusalReason::LoadFailed, retry_after_ms };
        let waiting = self.queue.remove_all(|job| job.adapter == adapter);
        waiting.into_iter().map(|job| RefusedJob { job, refusal }).collect()
    }

    /// Takes in the end of an unload order; one that failed is repeated.
    pub fn unload_finished(
        &mut self,
        instance: &adapter::InstanceName,
        is_done: bool,
        now_ms: u64,
    ) {
        self.slots.end_unload(instance, is_done, now_ms);
    }

    /// Returns the number to present with a listing that is asked for now.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.slots.generation()
    }

    /// Reconciles the slots with what the engine holds.
    pub fn reconcile(&mut self, listing: &InstanceListing, now_ms: u64) -> Reconciliation {
        let reconciliation = self.slots.reconcile(listing, now_ms);
        self.recount_pins();
        reconciliation
    }

    /// Notes that the engine acknowledged an order with this owner's fencing number.
    pub fn order_acknowledged(&mut self, now_ms: u64) {
        self.slots.order_acknowledged(now_ms);
    }

    /// Takes in a load report of the engine.
    pub fn apply_load_report(&mut self, report: &LoadReport) {
        self.slots.apply_load_report(report);
    }

    /// Notes that the owner under a fencing number, and all before it, ended or finished.
    pub fn former_owner_ended(&mut self, fencing: adapter::FencingToken) {
        self.slots.former_owner_ended(fencing);
    }

    /// Takes over the capacity that the engine states.
    pub fn set_capacity(&mut self, slots: usize, batch_places: usize) {
        self.limits.slots = slots;
        self.limits.batch_places = batch_places;
    }

    /// Sets whether the engine answers; waiting requests are refused when it stops to.
    pub fn set_available(&mut self, is_available: bool) -> Vec<RefusedJob> {
        self.is_available = is_available;
        self.refuse_all()
    }

    /// Ends the ownership: waiting requests are refused, running ones finish.
    pub fn close(&mut self) -> Vec<RefusedJob> {
        self.is_closed = true;
        self.refuse_all()
    }

    /// Returns whether the ownership ended, nothing runs any more and no order is in flight.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.is_closed && self.running.is_empty() && !self.slots.awaits_orders()
    }

    /// Returns whether the worker takes requests.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.is_closed && self.is_available
    }

    /// Returns the number of requests that wait or run.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn queue_length(&self) -> usize {
        self.queue.len()
    }

    /// Lists the slots.
    #[must_use]
    pub fn slots(&self) -> &[Slot] {
        self.slots.all()
    }

    /// Returns when to decide again without another event; `None` while nothing waits.
    #[must_use]
    pub fn next_decision_ms(&self, now_ms: u64) -> Option<u64> {
        let expiries = self.queue.jobs().iter().map(|job| {
            job.deadline_ms.min(job.submitted_ms.saturating_add(self.limits.max_queue_wait_ms))
        });
        let waits_for_load =
            self.queue.jobs().iter().any(|job| self.slots.usable(&job.adapter).is_none());
        expiries.chain(waits_for_load.then_some(now_ms + REPLAN_MS)).min()
    }

    /// Predicts how long a request would wait for its adapter and a batch place.
    #[must_use]
    pub fn predicted_wait_ms(&self, job: &Job, now_ms: u64) -> u64 {
        let load_ms = if self.slots.usable(&job.adapter).is_some() { 0 } else { LOAD_MS };
        let places = self.limits.batch_places.max(1);
        if self.running.len() + self.queue.len() < places {
            return load_ms;
        }
        let ahead = self.queue.jobs().iter();
        let ahead = ahead.filter(|other| other.aged_class(now_ms) <= job.class);
        let queued_tokens: u64 = ahead.map(|other| other.cost_tokens).sum();
        let running_ms: f64 =
            self.running.values().map(|running| running.left_ms(&self.pace, now_ms)).sum();
        let place_ms = (self.pace.time_ms(queued_tokens as f64) + running_ms) / places as f64;
        load_ms.max(place_ms as u64)
    }

    fn refuse_all(&mut self) -> Vec<RefusedJob> {
        let Some(refusal) = self.closed_refusal() else { return Vec::new() };
        let waiting = self.queue.remove_all(|_| true);
        waiting.into_iter().map(|job| RefusedJob { job, refusal }).collect()
    }

    fn closed_refusal(&self) -> Option<Refusal> {
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
