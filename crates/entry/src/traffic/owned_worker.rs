//! One owned worker: its aggregate behind a mutex, and the engine calls that its decisions require.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use jasminetack_domain::adapter;
use jasminetack_domain::lease;
use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_domain::worker;
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use tokio::time;

use super::engine_client::{EngineError, EngineTarget};
use super::placement_log::PlacementLog;
use super::scheduling::{SelectedEviction, SelectedQueue};
use super::worker_context::WorkerContext;
use super::worker_event::{WorkerEvent, WorkerEventKind, WorkerSummary};
use crate::control;

/// Attempts to cancel a request on the engine, after which its place is released in any case.
const MAX_CANCEL_ATTEMPTS: u32 = 3;
/// Pause between attempts to cancel a request.
const CANCEL_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// HTTP status with which an engine refuses an old fencing token.
const FENCED_STATUS: u16 = 412;
/// HTTP status with which an engine refuses a request for an instance that is not loaded.
const INSTANCE_MISSING_STATUS: u16 = 404;

/// Outcome of a request's wait in the queue.
#[derive(Clone, Debug)]
pub enum QueueOutcome {
    /// The request is sent to the engine now; its instance is pinned.
    Start(worker::StartOrder),
    /// The request was refused without having run.
    Refused(worker::Refusal),
}

/// One owned worker.
///
/// The mutex is held only while decisions are made, never during an engine call. Pins and evictions
/// are decided under the same mutex, so that no pinned instance is evicted.
#[derive(Debug)]
pub struct OwnedWorker {
    pub context: WorkerContext,
    pub grant: lease::Grant,
    pub engine: EngineTarget,
    pub placement_log: PlacementLog,
    /// Wakes the task that drives the worker.
    pub wake: Notify,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    worker: worker::Worker<SelectedQueue, SelectedEviction>,
    waiters: IndexMap<name::RequestId, oneshot::Sender<QueueOutcome>>,
    is_drained_reported: bool,
}

/// Decisions that are carried out after the mutex is released.
#[derive(Debug, Default)]
struct Decisions {
    refused: Vec<worker::RefusedJob>,
    starts: Vec<(worker::StartOrder, Option<oneshot::Sender<QueueOutcome>>)>,
    plan: worker::Plan,
}

impl OwnedWorker {
    /// Creates the state of a worker under a new grant.
    pub fn new(
        context: WorkerContext,
        grant: lease::Grant,
        engine: EngineTarget,
        placement_log: PlacementLog,
        worker: worker::Worker<SelectedQueue, SelectedEviction>,
    ) -> Self {
        let state = State { worker, waiters: IndexMap::new(), is_drained_reported: false };
        Self {
            context,
            grant,
            engine,
            placement_log,
            wake: Notify::new(),
            state: Mutex::new(state),
        }
    }

    /// Queues a request; the receiver gets the outcome of its wait.
    ///
    /// # Errors
    ///
    /// Fails when the request is refused without being queued.
    pub fn submit(
        self: &Arc<Self>,
        job: worker::Job,
    ) -> Result<oneshot::Receiver<QueueOutcome>, worker::Refusal> {
        let now_ms = self.context.clock.now_ms();
        let (request_id, adapter) = (job.request_id.clone(), job.adapter.clone());
        let (sender, receiver) = oneshot::channel();
        let displaced = {
            let mut state = self.state.lock();
            match state.worker.submit(job, now_ms) {
                Ok(displaced) => {
                    state.waiters.insert(request_id, sender);
                    displaced
                }
                Err(refusal) => {
                    drop(state);
                    self.placement_log.record_refusal(&request_id, &adapter, refusal, now_ms);
                    return Err(refusal);
                }
            }
        };
        self.refuse(displaced.into_iter().collect());
        self.run_decisions();
        self.wake.notify_one();
        Ok(receiver)
    }

    /// Predicts the cost of a request in tokens.
    pub fn predict_tokens(
        &self,
        adapter: &adapter::AdapterRef,
        prompt_bytes: u64,
        token_limit: Option<u32>,
    ) -> u64 {
        self.state.lock().worker.predict_tokens(adapter, prompt_bytes, token_limit)
    }

    /// Removes a queued request; returns `false` when it is no longer in the queue.
    pub fn cancel(&self, request_id: &name::RequestId) -> bool {
        let mut state = self.state.lock();
        state.waiters.swap_remove(request_id);
        state.worker.cancel(request_id)
    }

    /// Ends a started request and releases its place and pin.
    pub fn finish(self: &Arc<Self>, request_id: &name::RequestId, output_tokens: Option<u64>) {
        let now_ms = self.context.clock.now_ms();
        self.state.lock().worker.finish(request_id, output_tokens, now_ms);
        self.run_decisions();
    }

    /// Ends a request that the engine may still be running: cancels it on the engine, then releases
    /// its place and pin.
    pub fn abandon(self: &Arc<Self>, request_id: &name::RequestId) {
        let owned = Arc::clone(self);
        let request_id = request_id.clone();
        self.context.runtime.spawn(async move {
            for _ in 0..MAX_CANCEL_ATTEMPTS {
                let Err(error) = owned.context.engines.cancel(owned.engine, &request_id).await
                else {
                    break;
                };
                if is_fenced(&error) {
                    owned.mark_superseded();
                    break;
                }
                time::sleep(CANCEL_RETRY_PAUSE).await;
            }
            owned.finish(&request_id, None);
        });
    }

    /// Queues a request again that did not run because its instance is not loaded.
    pub fn requeue(
        self: &Arc<Self>,
        request_id: &name::RequestId,
    ) -> oneshot::Receiver<QueueOutcome> {
        let now_ms = self.context.clock.now_ms();
        let (sender, receiver) = oneshot::channel();
        let mut state = self.state.lock();
        let refused = state.worker.instance_missing(request_id, now_ms);
        state.waiters.insert(request_id.clone(), sender);
        drop(state);
        self.refuse(refused.into_iter().collect());
        self.wake.notify_one();
        receiver
    }

    /// Makes and carries out all decisions that are due.
    pub fn run_decisions(self: &Arc<Self>) {
        loop {
            let decisions = self.decide();
            let is_idle = decisions.starts.is_empty() && decisions.plan == worker::Plan::default();
            self.carry_out(decisions);
            if is_idle {
                break;
            }
        }
        self.notify_if_drained();
    }

    /// Ends the ownership: queued requests are refused, running requests finish.
    pub fn close(self: &Arc<Self>) {
        let refused = self.state.lock().worker.close();
        self.refuse(refused);
        self.notify_if_drained();
        self.wake.notify_one();
    }

    /// Ends the ownership because the engine has a later owner.
    pub fn mark_superseded(self: &Arc<Self>) {
        if self.is_open() {
            self.notify_control(WorkerEventKind::Superseded);
        }
        self.close();
    }

    /// Sets whether the worker is available for requests.
    pub fn set_available(self: &Arc<Self>, is_available: bool) {
        let refused = self.state.lock().worker.set_available(is_available);
        self.refuse(refused);
        self.run_decisions();
    }

    /// Changes the aggregate under its mutex and carries out the resulting decisions.
    pub fn update<Change, Output>(self: &Arc<Self>, change: Change) -> Output
    where
        Change: FnOnce(&mut worker::Worker<SelectedQueue, SelectedEviction>, u64) -> Output,
    {
        let now_ms = self.context.clock.now_ms();
        let output = change(&mut self.state.lock().worker, now_ms);
        self.run_decisions();
        output
    }

    /// Returns the generation of the aggregate, to be read before the instances are listed.
    pub fn generation(&self) -> u64 {
        self.state.lock().worker.generation()
    }

    /// Returns when the next decision is due if no event comes first.
    pub fn next_decision_ms(&self) -> Option<u64> {
        let now_ms = self.context.clock.now_ms();
        self.state.lock().worker.next_decision_ms(now_ms)
    }

    /// Returns whether the worker accepts requests.
    pub fn is_open(&self) -> bool {
        self.state.lock().worker.is_open()
    }

    /// Returns whether the ownership has ended, and so have its last request, load and unload.
    pub fn is_drained(&self) -> bool {
        self.state.lock().worker.is_drained()
    }

    /// Returns the number of queued and running requests.
    pub fn outstanding(&self) -> u32 {
        u32::try_from(self.state.lock().worker.outstanding()).unwrap_or(u32::MAX)
    }

    /// Returns the summary of the worker that is published to other daemons.
    pub fn summary(&self) -> WorkerSummary {
        let state = self.state.lock();
        let usable = state.worker.slots().iter().filter(|slot| slot.is_usable());
        WorkerSummary {
            worker: self.grant.worker.clone(),
            loaded: usable.map(|slot| slot.adapter().clone()).collect(),
            outstanding: u32::try_from(state.worker.outstanding()).unwrap_or(u32::MAX),
            available: state.worker.is_open(),
        }
    }

    /// Sends an event to the control thread.
    pub fn notify_control(&self, kind: WorkerEventKind) {
        let worker = self.grant.worker.clone();
        let event = WorkerEvent { worker, fencing: self.grant.fencing, kind };
        // The control thread runs until the process ends, so its receiver exists.
        let _ = self.context.control.send(control::Message::Worker(event));
    }

    fn decide(&self) -> Decisions {
        let now_ms = self.context.clock.now_ms();
        let mut state = self.state.lock();
        let refused = state.worker.expire(now_ms);
        let starts = state.worker.start_ready(now_ms);
        let starts = starts.into_iter().map(|start| {
            let waiter = state.waiters.swap_remove(&start.request_id);
            (start, waiter)
        });
        let starts = starts.collect();
        let plan = self.context.load_budget.reserve(|max_loads| {
            let plan = state.worker.plan(max_loads, now_ms);
            (plan.loads.len(), plan)
        });
        Decisions { refused, starts, plan }
    }

    fn carry_out(self: &Arc<Self>, decisions: Decisions) {
        let now_ms = self.context.clock.now_ms();
        self.refuse(decisions.refused);
        for (start, waiter) in decisions.starts {
            self.placement_log.record_start(&start, now_ms);
            let request_id = start.request_id.clone();
            let is_received =
                waiter.is_some_and(|waiter| waiter.send(QueueOutcome::Start(start)).is_ok());
            if !is_received {
                // The request was cancelled concurrently, before it was sent to the engine.
                self.state.lock().worker.finish(&request_id, None, now_ms);
            }
        }
        for order in decisions.plan.loads {
            self.placement_log.record_load(&order, now_ms);
            self.context.runtime.spawn(Arc::clone(self).load(order));
        }
        for order in decisions.plan.unloads {
            self.placement_log.record_eviction(&order, now_ms);
            self.context.runtime.spawn(Arc::clone(self).unload(order.instance));
        }
    }

    /// Refuses requests that were removed from the queue; none of them ran.
    fn refuse(&self, refused: Vec<worker::RefusedJob>) {
        let now_ms = self.context.clock.now_ms();
        for worker::RefusedJob { job, refusal } in refused {
            self.placement_log.record_refusal(&job.request_id, &job.adapter, refusal, now_ms);
            let waiter = self.state.lock().waiters.swap_remove(&job.request_id);
            if let Some(waiter) = waiter {
                // The receiver is dropped when the request was cancelled.
                let _ = waiter.send(QueueOutcome::Refused(refusal));
            }
        }
    }

    async fn load(self: Arc<Self>, order: worker::LoadOrder) {
        let result = self.context.engines.load(self.engine, &order.instance, &order.adapter).await;
        self.context.load_budget.release();
        let Err(error) = result else {
            self.update(|worker, now_ms| worker.load_succeeded(&order.instance, now_ms));
            return;
        };
        self.log_engine_error("load-failed", &order.instance, &error);
        if is_fenced(&error) {
            self.mark_superseded();
        }
        // Any HTTP status, also 5xx, means that the engine has ended the load.
        let failure = if error.status.is_some() || error.outcome == request::Outcome::NotRun {
            worker::LoadFailure::Refused
        } else {
            worker::LoadFailure::Unknown
        };
        let refused =
            self.update(|worker, now_ms| worker.load_failed(&order.instance, failure, now_ms));
        self.refuse(refused);
    }

    async fn unload(self: Arc<Self>, instance: adapter::InstanceName) {
        let result = self.context.engines.unload(self.engine, &instance).await;
        let is_unloaded = match &result {
            Ok(()) => true,
            Err(error) => is_instance_missing(error),
        };
        if let Err(error) = &result {
            self.log_engine_error("unload-failed", &instance, error);
            if is_fenced(error) {
                self.mark_superseded();
            }
        }
        self.update(|worker, now_ms| worker.unload_finished(&instance, is_unloaded, now_ms));
    }

    fn log_engine_error(&self, event: &str, instance: &adapter::InstanceName, error: &EngineError) {
        let worker = self.grant.worker.as_str();
        let instance = instance.as_str();
        let error = error.message.as_str();
        spdlog::warn!("{}", event, kv: { worker, instance, error });
    }

    fn notify_if_drained(&self) {
        let mut state = self.state.lock();
        if state.is_drained_reported || !state.worker.is_drained() {
            return;
        }
        state.is_drained_reported = true;
        drop(state);
        self.notify_control(WorkerEventKind::Drained);
        self.wake.notify_one();
    }
}

/// Returns whether the engine refused an old fencing token.
pub fn is_fenced(error: &EngineError) -> bool {
    error.status.is_some_and(|status| status.as_u16() == FENCED_STATUS)
}

/// Returns whether the engine refused a request because its instance is not loaded.
pub fn is_instance_missing(error: &EngineError) -> bool {
    error.status.is_some_and(|status| status.as_u16() == INSTANCE_MISSING_STATUS)
}
