//! Owner side of one model request, from the queue to the end of its answer.

use std::sync::Arc;
use std::time::Duration;

use jasminetack_domain::request;
use jasminetack_domain::worker;
use jasminetack_wire::engine;
use tokio::sync::{mpsc, oneshot};

use super::engine_client::EngineError;
use super::model_order::ModelOrder;
use super::owned::{Owned, Turn, is_fenced, is_missing};
use super::request_context::RequestContext;
use super::response_event::{Refusal, ResponseEvent};
use super::response_relay::ResponseRelay;

/// How often a request is queued again because the engine lost its instance.
const MAX_REQUEUES: u32 = 3;

/// One request at the owner of its worker.
#[derive(Debug)]
pub struct ModelRun {
    owned: Arc<Owned>,
    order: ModelOrder,
    context: RequestContext,
}

/// How an attempt on the engine ended.
enum Attempt {
    /// The engine does not hold the instance; nothing ran.
    Missing(EngineError),
    /// The request ended; its place at the worker is released or will be.
    Ended(Result<(), Refusal>),
}

impl ModelRun {
    /// Creates the run of a request.
    pub fn new(owned: Arc<Owned>, order: ModelOrder, events: mpsc::Sender<ResponseEvent>) -> Self {
        let remaining = Duration::from_millis(order.remaining_ms);
        let context = RequestContext::new(Arc::clone(&owned), events, remaining);
        Self { owned, order, context }
    }

    /// Serves the request and reports its end.
    pub async fn run(self) {
        let event = match self.serve().await {
            Ok(()) => ResponseEvent::End,
            Err(refusal) => ResponseEvent::Refused(refusal),
        };
        self.context.send_last(event).await;
    }

    async fn serve(&self) -> Result<(), Refusal> {
        let completion: engine::Completion = serde_json::from_slice(&self.order.body)
            .map_err(|error| Refusal::not_run(400, "bad_json", error.to_string()))?;
        let job = self.job(&completion);
        let mut turn = self.owned.submit(job).map_err(from_worker)?;
        let mut requeues = 0;
        loop {
            let start = self.wait_for_turn(turn).await?;
            let error = match self.attempt(&start, &completion).await {
                Attempt::Ended(result) => return result,
                Attempt::Missing(error) => error,
            };
            requeues += 1;
            if requeues > MAX_REQUEUES {
                self.owned.finish(&self.order.request_id, None);
                return Err(Refusal::not_run(502, "instance_missing", error.message));
            }
            turn = self.owned.requeue(&self.order.request_id);
        }
    }

    fn job(&self, completion: &engine::Completion) -> worker::Job {
        let order = &self.order;
        let now_ms = self.owned.shared.clock.now_ms();
        let prompt_bytes = u64::try_from(order.body.len()).unwrap_or(u64::MAX);
        let cost_tokens =
            self.owned.predict_tokens(&order.adapter, prompt_bytes, completion.max_tokens);
        worker::Job {
            request_id: order.request_id.clone(),
            adapter: order.adapter.clone(),
            team: order.team.clone(),
            weight: order.weight,
            share: order.share,
            class: order.class,
            cost_tokens,
            submitted_ms: now_ms,
            deadline_ms: now_ms.saturating_add(order.remaining_ms),
        }
    }

    async fn wait_for_turn(
        &self,
        mut turn: oneshot::Receiver<Turn>,
    ) -> Result<worker::StartOrder, Refusal> {
        let cancellation = match self.context.run_with_progress(&mut turn).await {
            Ok(Ok(Turn::Start(start))) => return Ok(start),
            Ok(Ok(Turn::Refused(refusal))) => return Err(from_worker(refusal)),
            Ok(Err(_)) => return Err(Refusal::not_run(503, "not_owner", "the queue is gone")),
            Err(cancellation) => cancellation,
        };
        // The decision may have been taken at this moment; a pinned place must be given back.
        if !self.owned.cancel(&self.order.request_id)
            && let Ok(Turn::Start(_)) = turn.await
        {
            self.owned.finish(&self.order.request_id, None);
        }
        Err(cancellation.not_run())
    }

    async fn attempt(
        &self,
        start: &worker::StartOrder,
        completion: &engine::Completion,
    ) -> Attempt {
        let request_id = &self.order.request_id;
        if self.context.is_past_deadline() {
            self.owned.finish(request_id, None);
            let message = "the deadline passed before the request was sent";
            return Attempt::Ended(Err(Refusal::not_run(504, "deadline_passed", message)));
        }
        let sent = engine::Completion {
            model: start.instance.to_string(),
            priority: start.engine_priority.or(completion.priority),
            ..completion.clone()
        };
        let body = match serde_json::to_vec(&sent) {
            Ok(body) => body,
            Err(error) => {
                self.owned.finish(request_id, None);
                let refusal = Refusal::not_run(400, "bad_json", error.to_string());
                return Attempt::Ended(Err(refusal));
            }
        };
        let engines = &self.owned.shared.engines;
        let call = engines.complete(self.owned.engine, &self.order.path, body.into(), request_id);
        let response = match self.context.run_with_progress(call).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if is_missing(&error) => return Attempt::Missing(error),
            Ok(Err(error)) => return Attempt::Ended(Err(self.failed(&error))),
            Err(cancellation) => {
                self.owned.abandon(request_id);
                return Attempt::Ended(Err(cancellation.unknown()));
            }
        };
        let mut relay =
            ResponseRelay::new(&self.owned, &self.order, &start.instance, &self.context);
        let result = if completion.stream {
            relay.relay_stream(response).await
        } else {
            relay.relay_json(response).await
        };
        match result {
            Ok(()) => self.owned.finish(request_id, Some(relay.output_tokens())),
            // The engine may still run the request.
            Err(_) => self.owned.abandon(request_id),
        }
        Attempt::Ended(result)
    }

    /// Takes in a request that the engine refused or that got no answer.
    fn failed(&self, error: &EngineError) -> Refusal {
        let request_id = &self.order.request_id;
        if error.outcome == request::Outcome::Unknown {
            self.owned.abandon(request_id);
            return Refusal::unknown(502, "engine_failed", error.message.clone());
        }
        self.owned.finish(request_id, None);
        if is_fenced(error) {
            self.owned.superseded();
            return Refusal::not_run(503, "not_owner", "the engine has a later owner");
        }
        let status = error.status.map_or(502, |status| status.as_u16());
        Refusal::not_run(status, "engine_refused", error.message.clone())
    }
}

fn from_worker(refusal: worker::Refusal) -> Refusal {
    let status = match refusal.reason {
        worker::RefusalReason::DeadlinePassed => 504,
        worker::RefusalReason::QueueFull
        | worker::RefusalReason::AboveShare
        | worker::RefusalReason::WaitExceedsDeadline
        | worker::RefusalReason::WaitedTooLong => 429,
        worker::RefusalReason::Duplicate => 409,
        worker::RefusalReason::NotOwner
        | worker::RefusalReason::Unavailable
        | worker::RefusalReason::LoadFailed => 503,
    };
    let code = refusal.reason.as_str();
    let message = format!("the worker refused the request: {code}");
    let retry_after_ms = Some(refusal.retry_after_ms);
    Refusal { retry_after_ms, ..Refusal::not_run(status, code, message) }
}
