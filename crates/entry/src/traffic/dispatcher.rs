//! Owner side: requests for the workers that this daemon owns.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use crossbeam_channel::Sender;
use http_body_util::BodyExt;
use hyper::header;
use indexmap::IndexMap;
use jasminetack_domain::adapter;
use jasminetack_domain::lease;
use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_wire::engine;
use tokio::runtime;
use tokio::sync::mpsc;

use super::answer_event::{AnswerEvent, Refusal};
use super::engine_client::{EngineClient, EngineError};
use super::model_order::ModelOrder;
use super::worker_event::WorkerSummary;
use crate::clock;
use crate::control;
use crate::journal;
use crate::settings;

/// Events that may wait for a slow reader before the engine is read no further.
const EVENT_BUFFER: usize = 16;

/// Serves requests for owned workers.
///
/// The control thread grants and revokes workers; traffic starts requests.
#[derive(Debug)]
pub struct Dispatcher {
    engines: EngineClient,
    clock: clock::Clock,
    journal: Arc<journal::Journal>,
    control: Sender<control::Message>,
    runtime: runtime::Handle,
    owned: ArcSwap<IndexMap<name::WorkerName, Arc<Owned>>>,
}

#[derive(Debug)]
struct Owned {
    grant: lease::Grant,
    address: SocketAddr,
}

impl Dispatcher {
    /// Creates a dispatcher that owns no worker.
    pub fn new(
        _settings: &settings::Settings,
        clock: clock::Clock,
        journal: Arc<journal::Journal>,
        control: Sender<control::Message>,
        runtime: runtime::Handle,
    ) -> Self {
        let engines = EngineClient::new();
        Self { engines, clock, journal, control, runtime, owned: ArcSwap::default() }
    }

    /// Sets how many adapter loads this daemon may have in flight, at least one.
    pub fn set_load_limit(&self, _loads: usize) {}

    /// Tells that the owner of a worker under a fencing number has ended or finished, so that its
    /// instances may be unloaded.
    pub fn former_owner_gone(&self, _worker: &name::WorkerName, _fencing: adapter::FencingNumber) {}

    /// Summarizes the owned workers.
    pub fn summaries(&self) -> Vec<WorkerSummary> {
        Vec::new()
    }

    /// Starts to serve a worker under a grant.
    pub fn grant(&self, grant: lease::Grant, address: SocketAddr) {
        let owned = Arc::new(Owned { grant, address });
        self.owned.rcu(|workers| {
            let mut workers = IndexMap::clone(workers);
            workers.insert(owned.grant.worker.clone(), Arc::clone(&owned));
            workers
        });
    }

    /// Stops new work on a worker; requests that run are finished.
    pub fn revoke(&self, worker: &name::WorkerName) {
        self.owned.rcu(|workers| {
            let mut workers = IndexMap::clone(workers);
            workers.shift_remove(worker);
            workers
        });
    }

    /// Starts a request; dropping the receiver cancels it.
    pub fn start(self: &Arc<Self>, order: ModelOrder) -> mpsc::Receiver<AnswerEvent> {
        let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
        let dispatcher = Arc::clone(self);
        tokio::spawn(async move {
            let event = match dispatcher.run(order, &sender).await {
                Ok(()) => AnswerEvent::End,
                Err(refusal) => AnswerEvent::Refused(refusal),
            };
            // The reader is gone when the caller hung up.
            let _ = sender.send(event).await;
        });
        receiver
    }

    async fn run(
        &self,
        order: ModelOrder,
        events: &mpsc::Sender<AnswerEvent>,
    ) -> Result<(), Refusal> {
        let Some(owned) = self.owned.load().get(&order.worker).cloned() else {
            let message = format!("this daemon does not own worker {}", order.worker);
            return Err(Refusal::not_run(503, "not_owner", message));
        };
        let mut completion: engine::Completion = serde_json::from_slice(&order.body)
            .map_err(|error| Refusal::not_run(400, "bad_json", error.to_string()))?;
        let instance = owned.grant.instance(&order.adapter);
        let fencing = owned.grant.fencing;
        self.engines
            .load(owned.address, &instance, &order.adapter, fencing)
            .await
            .map_err(from_engine)?;
        completion.model = instance.to_string();
        let body = serde_json::to_vec(&completion)
            .map_err(|error| Refusal::not_run(400, "bad_json", error.to_string()))?;
        let answer = self
            .engines
            .complete(owned.address, &order.path, body.into(), fencing, &order.request_id)
            .await
            .map_err(from_engine)?;
        let content_type = answer.headers().get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
        let head = AnswerEvent::Head {
            status: answer.status().as_u16(),
            content_type: content_type.to_owned(),
            outstanding: 0,
        };
        let caller_gone = || Refusal::unknown(499, "cancelled", "the caller hung up");
        events.send(head).await.map_err(|_| caller_gone())?;
        let mut upstream = answer.into_body();
        while let Some(frame) = upstream.frame().await {
            let frame =
                frame.map_err(|error| Refusal::unknown(502, "answer_broken", error.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            events.send(AnswerEvent::Chunk(data)).await.map_err(|_| caller_gone())?;
        }
        Ok(())
    }
}

fn from_engine(error: EngineError) -> Refusal {
    match error.outcome {
        request::Outcome::NotRun => Refusal::not_run(502, "engine_failed", error.message),
        request::Outcome::Unknown => Refusal::unknown(502, "engine_failed", error.message),
    }
}
