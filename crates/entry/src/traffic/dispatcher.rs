//! The workers that this daemon owns, and the start of model requests on them.

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

use super::engine_client::{EngineClient, EngineTarget};
use super::load_budget::LoadBudget;
use super::model_request::ModelRequest;
use super::model_run::ModelRun;
use super::owned_worker::OwnedWorker;
use super::owner_driver::OwnerDriver;
use super::placement_log::PlacementLog;
use super::response_event::{Refusal, ResponseEvent};
use super::scheduling::{SelectedEviction, SelectedQueue};
use super::worker_context::WorkerContext;
use super::worker_event::WorkerSummary;
use crate::clock;
use crate::control;
use crate::decision_log;
use crate::settings;

/// Capacity of a request's event channel; while it is full, the engine's response is not read.
const EVENT_CHANNEL_CAPACITY: usize = 16;

/// Starts model requests on the workers that this daemon owns.
///
/// The control thread grants and revokes workers; traffic threads start requests.
#[derive(Debug)]
pub struct Dispatcher {
    context: WorkerContext,
    decisions: Arc<decision_log::DecisionLog>,
    limits: worker::Limits,
    policy: String,
    probe_interval: Duration,
    /// Serializes changes of `owned`, which requests read without this lock.
    changes: Mutex<()>,
    owned: ArcSwap<IndexMap<name::WorkerName, Arc<OwnedWorker>>>,
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
        // The smallest limit, until the number of live daemons is known.
        let load_budget = LoadBudget::new(1);
        Self {
            context: WorkerContext { engines, clock, control, runtime, load_budget },
            decisions,
            limits,
            policy: settings.policy.clone(),
            probe_interval: Duration::from_millis(settings.worker_probe_ms),
            changes: Mutex::new(()),
            owned: ArcSwap::default(),
        }
    }

    /// Starts serving a worker under a grant; does nothing when the grant is already in force.
    pub fn grant(&self, grant: lease::Grant, address: SocketAddr) {
        let changes = self.changes.lock();
        let engine = EngineTarget { address, fencing: grant.fencing };
        let previous = self.owned.load().get(&grant.worker).cloned();
        if previous.as_ref().is_some_and(|owned| owned.grant == grant && owned.engine == engine) {
            return;
        }
        let placement_log = PlacementLog::new(grant.worker.clone(), Arc::clone(&self.decisions));
        let queue = SelectedQueue::from_name(&self.policy);
        let eviction = SelectedEviction::from_name(&self.policy);
        let worker = worker::Worker::new(grant.clone(), self.limits, queue, eviction);
        let owned =
            Arc::new(OwnedWorker::new(self.context.clone(), grant, engine, placement_log, worker));
        let mut workers = IndexMap::clone(&self.owned.load());
        workers.insert(owned.grant.worker.clone(), Arc::clone(&owned));
        self.owned.store(Arc::new(workers));
        drop(changes);
        if let Some(previous) = previous {
            previous.close();
        }
        self.context.runtime.spawn(OwnerDriver::new(owned, self.probe_interval).run());
    }

    /// Stops serving a worker: queued requests are refused as not run, running requests finish, and
    /// then the control thread is notified that the worker is drained.
    pub fn revoke(&self, worker: &name::WorkerName) {
        let changes = self.changes.lock();
        let mut workers = IndexMap::clone(&self.owned.load());
        let revoked = workers.shift_remove(worker);
        self.owned.store(Arc::new(workers));
        drop(changes);
        if let Some(revoked) = revoked {
            revoked.close();
        }
    }

    /// Sets the maximum number of concurrent adapter loads of this daemon, which is at least one.
    ///
    /// The limit of a daemon is the fleet's limit divided by the number of live daemons.
    pub fn set_load_limit(&self, loads: usize) {
        self.context.load_budget.set_limit(loads);
    }

    /// Records that a worker's former owner with this fencing token has ended or released the
    /// worker, so that its instances may be unloaded.
    pub fn former_owner_ended(&self, worker: &name::WorkerName, fencing: adapter::FencingToken) {
        let Some(owned) = self.owned.load().get(worker).cloned() else { return };
        owned.update(|worker, _| worker.former_owner_ended(fencing));
    }

    /// Returns a summary of each owned worker.
    pub fn summaries(&self) -> Vec<WorkerSummary> {
        self.owned.load().values().map(|owned| owned.summary()).collect()
    }

    /// Starts a request; dropping the receiver cancels it.
    pub fn start(self: &Arc<Self>, request: ModelRequest) -> mpsc::Receiver<ResponseEvent> {
        let (sender, receiver) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
        let Some(owned) = self.owned.load().get(&request.worker).cloned() else {
            let message = format!("this daemon does not own worker {}", request.worker);
            let refusal = Refusal::not_run(503, "not_owner", message);
            // The channel is empty, so the event fits.
            let _ = sender.try_send(ResponseEvent::Refused(refusal));
            return receiver;
        };
        self.context.runtime.spawn(ModelRun::new(owned, request, sender).run());
        receiver
    }
}
