//! Owner side: requests for the workers that this daemon owns.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam_channel::Sender;
use indexmap::IndexMap;
use jasminetack_domain::adapter;
use jasminetack_domain::lease;
use jasminetack_domain::name;
use jasminetack_domain::worker;
use parking_lot::Mutex;
use tokio::runtime;
use tokio::sync::mpsc;

use super::answer_event::{AnswerEvent, Refusal};
use super::engine_client::{Engine, EngineClient};
use super::load_budget::LoadBudget;
use super::model_order::ModelOrder;
use super::model_run::ModelRun;
use super::owned::{Owned, Shared};
use super::owner_driver::OwnerDriver;
use super::placement_log::PlacementLog;
use super::scheduling::{Order, Value};
use super::worker_event::WorkerSummary;
use crate::clock;
use crate::control;
use crate::decision_log;
use crate::settings;

/// Events that may wait for a slow reader before the engine is read no further.
const EVENT_BUFFER: usize = 16;

/// Serves requests for owned workers.
///
/// The control thread grants and revokes workers; traffic starts requests.
#[derive(Debug)]
pub struct Dispatcher {
    shared: Shared,
    decisions: Arc<decision_log::DecisionLog>,
    limits: worker::Limits,
    policy: String,
    probe_interval: Duration,
    /// Serializes changes of the owned workers; requests read without it.
    changes: Mutex<()>,
    owned: ArcSwap<IndexMap<name::WorkerName, Arc<Owned>>>,
}

impl Dispatcher {
    /// Creates a dispatcher that owns no worker.
    pub fn new(
        settings: &settings::Settings,
        clock: clock::Clock,
        decisions: Arc<decision_log::DecisionLog>,
        control: Sender<control::Message>,
        runtime: runtime::Handle,
    ) -> Self {
        let limits = worker::Limits {
            slots: settings.engine_slots,
            batch_places: settings.engine_batch,
            long_work_tokens: settings.long_work_tokens,
            max_queue_length: settings.max_queue_length,
            max_queue_wait_ms: settings.max_queue_wait_ms,
        };
        let engines = EngineClient::new(&settings.upstream_key);
        // Until the number of live daemons is known, this one may use its least possible part.
        let loads = LoadBudget::new(1);
        Self {
            shared: Shared { engines, clock, control, runtime, loads },
            decisions,
            limits,
            policy: settings.policy.clone(),
            probe_interval: Duration::from_millis(settings.worker_probe_ms),
            changes: Mutex::new(()),
            owned: ArcSwap::default(),
        }
    }

    /// Starts to serve a worker under a grant; a grant that is in force already changes nothing.
    pub fn grant(&self, grant: lease::Grant, address: SocketAddr) {
        let changes = self.changes.lock();
        let engine = Engine { address, fencing: grant.fencing };
        let former = self.owned.load().get(&grant.worker).cloned();
        if former.as_ref().is_some_and(|owned| owned.grant == grant && owned.engine == engine) {
            return;
        }
        let log = PlacementLog::new(grant.worker.clone(), Arc::clone(&self.decisions));
        let order = Order::for_policy(&self.policy);
        let value = Value::for_policy(&self.policy);
        let worker = worker::Worker::new(grant.clone(), self.limits, order, value);
        let owned = Arc::new(Owned::new(self.shared.clone(), grant, engine, log, worker));
        let mut workers = IndexMap::clone(&self.owned.load());
        workers.insert(owned.grant.worker.clone(), Arc::clone(&owned));
        self.owned.store(Arc::new(workers));
        drop(changes);
        if let Some(former) = former {
            former.close();
        }
        self.shared.runtime.spawn(OwnerDriver::new(owned, self.probe_interval).run());
    }

    /// Stops new work on a worker: queued requests are handed back as not run, running ones finish,
    /// and then the control thread is told that the worker is drained.
    pub fn revoke(&self, worker: &name::WorkerName) {
        let changes = self.changes.lock();
        let mut workers = IndexMap::clone(&self.owned.load());
        let former = workers.shift_remove(worker);
        self.owned.store(Arc::new(workers));
        drop(changes);
        if let Some(former) = former {
            former.close();
        }
    }

    /// Sets how many adapter loads this daemon may have in flight, at least one.
    ///
    /// The part of one daemon is the fleet's limit divided by the number of live daemons.
    pub fn set_load_limit(&self, loads: usize) {
        self.shared.loads.set_limit(loads);
    }

    /// Tells that the owner of a worker under a fencing number has ended or finished, so that its
    /// instances may be unloaded.
    pub fn former_owner_gone(&self, worker: &name::WorkerName, fencing: adapter::FencingToken) {
        let Some(owned) = self.owned.load().get(worker).cloned() else { return };
        owned.update(|worker, _| worker.former_owner_ended(fencing));
    }

    /// Summarizes the owned workers.
    pub fn summaries(&self) -> Vec<WorkerSummary> {
        self.owned.load().values().map(|owned| owned.summary()).collect()
    }

    /// Starts a request; dropping the receiver cancels it.
    pub fn start(self: &Arc<Self>, order: ModelOrder) -> mpsc::Receiver<AnswerEvent> {
        let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
        let Some(owned) = self.owned.load().get(&order.worker).cloned() else {
            let message = format!("this daemon does not own worker {}", order.worker);
            let refusal = Refusal::not_run(503, "not_owner", message);
            // The buffer is empty, so the event fits.
            let _ = sender.try_send(AnswerEvent::Refused(refusal));
            return receiver;
        };
        self.shared.runtime.spawn(ModelRun::new(owned, order, sender).run());
        receiver
    }
}
