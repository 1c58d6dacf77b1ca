//! One owned worker: its aggregate behind a mutex and the orders that follow from its decisions.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use indexmap::IndexMap;
use jasminetack_domain::adapter;
use jasminetack_domain::lease;
use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_domain::worker;
use parking_lot::Mutex;
use tokio::runtime;
use tokio::sync::{Notify, oneshot};
use tokio::time;

use super::engine_client::{EngineClient, EngineError, EngineTarget};
use super::load_budget::LoadBudget;
use super::placement_log::PlacementLog;
use super::scheduling::{SelectedEviction, SelectedQueue};
use super::worker_event::{WorkerEvent, WorkerEventKind, WorkerSummary};
use crate::clock;
use crate::control;

/// Attempts to cancel a request before its place is released without an answer.
const MAX_CANCELS: u32 = 3;
/// Pause between attempts to cancel a request.
const CANCEL_PAUSE: Duration = Duration::from_millis(200);
/// HTTP status with which an engine refuses an old fencing number.
const FENCED_STATUS: u16 = 412;
/// HTTP status with which an engine refuses an instance that it does not hold.
const MISSING_STATUS: u16 = 404;

/// What the owned workers of a daemon share.
#[derive(Clone, Debug)]
pub struct WorkerContext {
    pub engines: EngineClient,
    pub clock: clock::Clock,
    pub control: Sender<control::Message>,
    pub runtime: runtime::Handle,
    pub loads: Arc<LoadBudget>,
}

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
/// The mutex is held for decisions only, never while a call is made. Evictions are decided under the
/// same mutex as pins.
#[derive(Debug)]
pub struct OwnedWorker {
    pub context: WorkerContext,
    pub grant: lease::Grant,
    pub engine: EngineTarget,
    pub log: PlacementLog,
    /// Wakes the task that drives the worker.
    pub wake: Notify,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    worker: worker::Worker<SelectedQueue, SelectedEviction>,
    waiters: IndexMap<name::RequestId, oneshot::Sender<QueueOutcome>>,
    drained_told: bool,
}

/// What a decision step has to carry out after the mutex is released.
#[derive(Debug, Default)]
struct Outcome {
    refused: Vec<worker::RefusedJob>,
    starts: Vec<(worker::StartOrder, Option<oneshot::Sender<QueueOutcome>>)>,
    plan: worker::Plan,
}

impl OwnedWorker {
    /// Creates the state of a worker that was just granted.
    pub fn new(
        context: WorkerContext,
        grant: lease::Grant,
        engine: EngineTarget,
        log: PlacementLog,
        worker: worker::Worker<SelectedQueue, SelectedEviction>,
    ) -> Self {
        let state = State { worker, waiters: IndexMap::new(), drained_told: false };
        Self { context, grant, engine, log, wake: Notify::new(), state: Mutex::new(state) }
    }

    /// Queues a request; the receiver gets the outcome of its wait.
    ///
    /// # Errors
    ///
    /// Fails when the request is refused at once.
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
                    self.log.refuse(&request_id, &adapter, refusal, now_ms);
                    return Err(refusal);
                }
            }
        };
        self.refuse(displaced.into_iter().collect());
        self.step();
        self.wake.notify_one();
        Ok(receiver)
    }

    /// Predicts the cost of a request.
    pub fn predict_tokens(
        &self,
        adapter: &adapter::AdapterRef,
        prompt_bytes: u64,
        token_limit: Option<u32>,
    ) -> u64 {
        self.state.lock().worker.predict_tokens(adapter, prompt_bytes, token_limit)
    }

    /// Removes a request that waits; `false` when it was started or refused meanwhile.
    pub fn cancel(&self, request_id: &name::RequestId) -> bool {
        let mut state = self.state.lock();
        state.waiters.swap_remove(request_id);
        state.worker.cancel(request_id)
    }

    /// Ends a request that ran.
    pub fn finish(self: &Arc<Self>, request_id: &name::RequestId, output_tokens: Option<u64>) {
        let now_ms = self.context.clock.now_ms();
        self.state.lock().worker.finish(request_id, output_tokens, now_ms);
        self.step();
    }

    /// Ends a request that the engine may still run: cancels it there and releases its place and
    /// pin afterwards.
    pub fn abandon(self: &Arc<Self>, request_id: &name::RequestId) {
        let owned = Arc::clone(self);
        let request_id = request_id.clone();
        self.context.runtime.spawn(async move {
            for _ in 0..MAX_CANCELS {
                let Err(error) = owned.context.engines.cancel(owned.engine, &request_id).await
                else {
                    break;
                };
                if is_fenced(&error) {
                    owned.mark_superseded();
                    break;
                }
                time::sleep(CANCEL_PAUSE).await;
            }
            owned.finish(&request_id, None);
        });
    }

    /// Queues a request again whose instance the engine does not hold, so that nothing ran.
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

    /// Takes and carries out all decisions that are due.
    pub fn step(self: &Arc<Self>) {
        loop {
            let outcome = self.decide();
            let is_idle = outcome.starts.is_empty() && outcome.plan == worker::Plan::default();
            self.carry_out(outcome);
            if is_idle {
                break;
            }
        }
        self.tell_drained();
    }

    /// Ends the ownership: waiting requests are handed back, running ones finish.
    pub fn close(self: &Arc<Self>) {
        let refused = self.state.lock().worker.close();
        self.refuse(refused);
        self.tell_drained();
        self.wake.notify_one();
    }

    /// Ends the ownership because the engine knows a later owner.
    pub fn mark_superseded(self: &Arc<Self>) {
        if self.is_open() {
            self.tell(WorkerEventKind::Superseded);
        }
        self.close();
    }

    /// Sets whether the engine answers probes.
    pub fn set_available(self: &Arc<Self>, is_available: bool) {
        let refused = self.state.lock().worker.set_available(is_available);
        self.refuse(refused);
        self.step();
    }

    /// Changes the aggregate under its mutex and carries out what follows.
    pub fn update<Change, Answer>(self: &Arc<Self>, change: Change) -> Answer
    where
        Change: FnOnce(&mut worker::Worker<SelectedQueue, SelectedEviction>, u64) -> Answer,
    {
        let now_ms = self.context.clock.now_ms();
        let answer = change(&mut self.state.lock().worker, now_ms);
        self.step();
        answer
    }

    /// Returns the value to present with a listing that is asked for now.
    pub fn generation(&self) -> u64 {
        self.state.lock().worker.generation()
    }

    /// Returns when a decision is due without another event.
    pub fn next_decision_ms(&self) -> Option<u64> {
        let now_ms = self.context.clock.now_ms();
        self.state.lock().worker.next_decision_ms(now_ms)
    }

    /// Returns whether the worker takes requests.
    pub fn is_open(&self) -> bool {
        self.state.lock().worker.is_open()
    }

    /// Returns whether the ownership ended and its last request and order as well.
    pub fn is_drained(&self) -> bool {
        self.state.lock().worker.is_drained()
    }

    /// Returns the number of requests that wait or run.
    pub fn outstanding(&self) -> u32 {
        u32::try_from(self.state.lock().worker.outstanding()).unwrap_or(u32::MAX)
    }

    /// Summarizes the worker for other daemons.
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

    /// Reports to the control thread.
    pub fn tell(&self, kind: WorkerEventKind) {
        let worker = self.grant.worker.clone();
        let event = WorkerEvent { worker, fencing: self.grant.fencing, kind };
        // The control thread ends only with the process.
        let _ = self.context.control.send(control::Message::Worker(event));
    }

    fn decide(&self) -> Outcome {
        let now_ms = self.context.clock.now_ms();
        let mut state = self.state.lock();
        let refused = state.worker.expire(now_ms);
        let starts = state.worker.start_ready(now_ms);
        let starts = starts.into_iter().map(|start| {
            let waiter = state.waiters.swap_remove(&start.request_id);
            (start, waiter)
        });
        let starts = starts.collect();
        let plan = self.context.loads.reserve(|max_loads| {
            let plan = state.worker.plan(max_loads, now_ms);
            (plan.loads.len(), plan)
        });
        Outcome { refused, starts, plan }
    }

    fn carry_out(self: &Arc<Self>, outcome: Outcome) {
        let now_ms = self.context.clock.now_ms();
        self.refuse(outcome.refused);
        for (start, waiter) in outcome.starts {
            self.log.start(&start, now_ms);
            let request_id = start.request_id.clone();
            let is_taken =
                waiter.is_some_and(|waiter| waiter.send(QueueOutcome::Start(start)).is_ok());
            if !is_taken {
                // The request was cancelled at this moment; nothing was sent for it.
                self.state.lock().worker.finish(&request_id, None, now_ms);
            }
        }
        for order in outcome.plan.loads {
            self.log.load(&order, now_ms);
            self.context.runtime.spawn(Arc::clone(self).load(order));
        }
        for order in outcome.plan.unloads {
            self.log.evict(&order, now_ms);
            self.context.runtime.spawn(Arc::clone(self).unload(order.instance));
        }
    }

    /// Hands refused requests back; those that were removed from the queue did not run.
    fn refuse(&self, refused: Vec<worker::RefusedJob>) {
        let now_ms = self.context.clock.now_ms();
        for worker::RefusedJob { job, refusal } in refused {
            self.log.refuse(&job.request_id, &job.adapter, refusal, now_ms);
            let waiter = self.state.lock().waiters.swap_remove(&job.request_id);
            if let Some(waiter) = waiter {
                // The reader is gone when the request was cancelled.
                let _ = waiter.send(QueueOutcome::Refused(refusal));
            }
        }
    }

    async fn load(self: Arc<Self>, order: worker::LoadOrder) {
        let result = self.context.engines.load(self.engine, &order.instance, &order.adapter).await;
        self.context.loads.release();
        let Err(error) = result else {
            self.update(|worker, now_ms| worker.load_succeeded(&order.instance, now_ms));
            return;
        };
        self.log_failed("load-failed", &order.instance, &error);
        if is_fenced(&error) {
            self.mark_superseded();
        }
        // A server error is an answer as well: the engine ended the load.
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
        let is_done = match &result {
            Ok(()) => true,
            Err(error) => is_instance_missing(error),
        };
        if let Err(error) = &result {
            self.log_failed("unload-failed", &instance, error);
            if is_fenced(error) {
                self.mark_superseded();
            }
        }
        self.update(|worker, now_ms| worker.unload_finished(&instance, is_done, now_ms));
    }

    fn log_failed(&self, event: &str, instance: &adapter::InstanceName, error: &EngineError) {
        let worker = self.grant.worker.as_str();
        let instance = instance.as_str();
        let error = error.message.as_str();
        spdlog::warn!("{}", event, kv: { worker, instance, error });
    }

    fn tell_drained(&self) {
        let mut state = self.state.lock();
        if state.drained_told || !state.worker.is_drained() {
            return;
        }
        state.drained_told = true;
        drop(state);
        self.tell(WorkerEventKind::Drained);
        self.wake.notify_one();
    }
}

/// Returns whether the engine refused an old fencing number.
pub fn is_fenced(error: &EngineError) -> bool {
    error.status.is_some_and(|status| status.as_u16() == FENCED_STATUS)
}

/// Returns whether the engine does not hold the instance that was named.
pub fn is_instance_missing(error: &EngineError) -> bool {
    error.status.is_some_and(|status| status.as_u16() == MISSING_STATUS)
}
