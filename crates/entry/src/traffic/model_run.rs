//! Handling of one model request at its worker's owner, from the queue to the end of its response.

use std::sync::Arc;
use std::time::Duration;

use jasminetack_domain::request;
use jasminetack_domain::worker;
use jasminetack_wire::engine;
use tokio::sync::{mpsc, oneshot};

use super::answer_event::{AnswerEvent, Refusal};
use super::answer_relay::AnswerRelay;
use super::attendance::Attendance;
use super::engine_client::EngineError;
use super::model_request::ModelRequest;
use super::owned_worker::{OwnedWorker, QueueOutcome, is_fenced, is_instance_missing};

/// Maximum number of times that a request is queued again because its instance is not loaded.
const MAX_REQUEUES: u32 = 3;

/// One model request at the owner of its worker.
#[derive(Debug)]
pub struct ModelRun {
    owned: Arc<OwnedWorker>,
    request: ModelRequest,
    attendance: Attendance,
}

/// Result of an attempt on the engine.
enum AttemptResult {
    /// The instance is not loaded in the engine; the request did not run.
    InstanceMissing(EngineError),
    /// The request ended; its place at the worker is released, or will be after a cancellation.
    Ended(Result<(), Refusal>),
}

impl ModelRun {
    /// Creates the run of a request, whose events go to `events`.
    pub fn new(
        owned: Arc<OwnedWorker>,
        request: ModelRequest,
        events: mpsc::Sender<AnswerEvent>,
    ) -> Self {
        let remaining = Duration::from_millis(request.remaining_ms);
        let attendance = Attendance::new(Arc::clone(&owned), events, remaining);
        Self { owned, request, attendance }
    }

    /// Serves the request and sends its final event.
    pub async fn run(self) {
        let event = match self.serve().await {
            Ok(()) => AnswerEvent::End,
            Err(refusal) => AnswerEvent::Refused(refusal),
        };
        self.attendance.send_last(event).await;
    }

    async fn serve(&self) -> Result<(), Refusal> {
        let completion: engine::Completion = serde_json::from_slice(&self.request.body)
            .map_err(|error| Refusal::not_run(400, "bad_json", error.to_string()))?;
        let job = self.job(&completion);
        let mut receiver = self.owned.submit(job).map_err(refusal_from_worker)?;
        let mut requeues = 0;
        loop {
            let start = self.wait_for_start(receiver).await?;
            let error = match self.attempt(&start, &completion).await {
                AttemptResult::Ended(result) => return result,
                AttemptResult::InstanceMissing(error) => error,
            };
            requeues += 1;
            if requeues > MAX_REQUEUES {
                self.owned.finish(&self.request.request_id, None);
                return Err(Refusal::not_run(502, "instance_missing", error.message));
            }
            receiver = self.owned.requeue(&self.request.request_id);
        }
    }

    fn job(&self, completion: &engine::Completion) -> worker::Job {
        let request = &self.request;
        let now_ms = self.owned.context.clock.now_ms();
        let prompt_bytes = u64::try_from(request.body.len()).unwrap_or(u64::MAX);
        let cost_tokens =
            self.owned.predict_tokens(&request.adapter, prompt_bytes, completion.max_tokens);
        worker::Job {
            request_id: request.request_id.clone(),
            adapter: request.adapter.clone(),
            team: request.team.clone(),
            weight: request.weight,
            share: request.share,
            class: request.class,
            cost_tokens,
            submitted_ms: now_ms,
            deadline_ms: now_ms.saturating_add(request.remaining_ms),
        }
    }

    async fn wait_for_start(
        &self,
        mut receiver: oneshot::Receiver<QueueOutcome>,
    ) -> Result<worker::StartOrder, Refusal> {
        let interruption = match self.attendance.with_progress(&mut receiver).await {
            Ok(Ok(QueueOutcome::Start(start))) => return Ok(start),
            Ok(Ok(QueueOutcome::Refused(refusal))) => return Err(refusal_from_worker(refusal)),
            Ok(Err(_)) => return Err(Refusal::not_run(503, "not_owner", "the queue is gone")),
            Err(interruption) => interruption,
        };
        // The request may have been started concurrently; its place and pin are then released.
        if !self.owned.cancel(&self.request.request_id)
            && let Ok(QueueOutcome::Start(_)) = receiver.await
        {
            self.owned.finish(&self.request.request_id, None);
        }
        Err(interruption.not_run())
    }

    async fn attempt(
        &self,
        start: &worker::StartOrder,
        completion: &engine::Completion,
    ) -> AttemptResult {
        let request_id = &self.request.request_id;
        if self.attendance.is_late() {
            self.owned.finish(request_id, None);
            let message = "the deadline passed before the request was sent";
            return AttemptResult::Ended(Err(Refusal::not_run(504, "deadline_passed", message)));
        }
        let engine_request = engine::Completion {
            model: start.instance.to_string(),
            priority: start.engine_priority.or(completion.priority),
            ..completion.clone()
        };
        let body = match serde_json::to_vec(&engine_request) {
            Ok(body) => body,
            Err(error) => {
                self.owned.finish(request_id, None);
                let refusal = Refusal::not_run(400, "bad_json", error.to_string());
                return AttemptResult::Ended(Err(refusal));
            }
        };
        let engines = &self.owned.context.engines;
        let call = engines.complete(self.owned.engine, &self.request.path, body.into(), request_id);
        let response = match self.attendance.with_progress(call).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if is_instance_missing(&error) => {
                return AttemptResult::InstanceMissing(error);
            }
            Ok(Err(error)) => return AttemptResult::Ended(Err(self.handle_engine_error(&error))),
            Err(interruption) => {
                self.owned.abandon(request_id);
                return AttemptResult::Ended(Err(interruption.unknown()));
            }
        };
        let mut relay =
            AnswerRelay::new(&self.owned, &self.request, &start.instance, &self.attendance);
        let result = if completion.stream {
            relay.stream(response).await
        } else {
            relay.whole(response).await
        };
        match result {
            Ok(()) => self.owned.finish(request_id, Some(relay.output_tokens())),
            // The engine may still be running the request.
            Err(_) => self.owned.abandon(request_id),
        }
        AttemptResult::Ended(result)
    }

    /// Ends a request that the engine refused or did not respond to.
    fn handle_engine_error(&self, error: &EngineError) -> Refusal {
        let request_id = &self.request.request_id;
        if error.outcome == request::Outcome::Unknown {
            self.owned.abandon(request_id);
            return Refusal::unknown(502, "engine_failed", error.message.clone());
        }
        self.owned.finish(request_id, None);
        if is_fenced(error) {
            self.owned.mark_superseded();
            return Refusal::not_run(503, "not_owner", "the engine has a later owner");
        }
        let status = error.status.map_or(502, |status| status.as_u16());
        Refusal::not_run(status, "engine_refused", error.message.clone())
    }
}

fn refusal_from_worker(refusal: worker::Refusal) -> Refusal {
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
