//! One attempt at a model request on one worker.

use std::sync::Arc;

use bytes::Bytes;
use jasminetack_domain::name;
use jasminetack_domain::route;
use tokio::sync::mpsc;

use super::answer_event::{AnswerEvent, Refusal};
use super::router::Router;
use crate::clock;

/// A request that was sent to the owner of a worker; dropping the attempt cancels it there.
#[derive(Debug)]
pub struct ModelAttempt<RoutePolicy>
where
    RoutePolicy: route::Policy,
{
    worker: name::WorkerName,
    base_model: name::BaseModelName,
    sent_ms: u64,
    events: mpsc::Receiver<AnswerEvent>,
    router: Arc<Router<RoutePolicy>>,
    clock: clock::Clock,
}

/// A response whose first token has arrived.
#[derive(Debug)]
pub struct StartedResponse<RoutePolicy>
where
    RoutePolicy: route::Policy,
{
    /// The attempt, which returns the rest of the response.
    pub attempt: ModelAttempt<RoutePolicy>,
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// First part of the response; `None` for a complete response without content.
    pub first: Option<Bytes>,
    /// Time from sending the request to the first token.
    pub first_token_ms: u64,
}

impl<RoutePolicy> ModelAttempt<RoutePolicy>
where
    RoutePolicy: route::Policy,
{
    /// Creates an attempt that was just sent, and counts it in the router.
    pub fn new(
        worker: name::WorkerName,
        base_model: name::BaseModelName,
        events: mpsc::Receiver<AnswerEvent>,
        router: Arc<Router<RoutePolicy>>,
        clock: clock::Clock,
    ) -> Self {
        router.sent(&worker);
        let sent_ms = clock.now_ms();
        Self { worker, base_model, sent_ms, events, router, clock }
    }

    /// Returns the worker.
    pub fn worker(&self) -> &name::WorkerName {
        &self.worker
    }

    /// Waits for the first token. The head is not enough: engines send it before they process the
    /// request, and the request can be sent to another worker until a token arrives.
    ///
    /// # Errors
    ///
    /// Fails with the owner's refusal, or with an unknown outcome when the events end early.
    pub async fn wait_for_first_token(mut self) -> Result<StartedResponse<RoutePolicy>, Refusal> {
        let mut head = None;
        let (status, content_type, first) = loop {
            match (self.events.recv().await, head.take()) {
                (Some(AnswerEvent::Progress { outstanding }), None) => {
                    self.record_outstanding(outstanding);
                }
                (Some(AnswerEvent::Head { status, content_type, outstanding }), None) => {
                    self.record_outstanding(outstanding);
                    head = Some((status, content_type));
                }
                (Some(AnswerEvent::Chunk(data)), Some((status, content_type))) => {
                    break (status, content_type, Some(data));
                }
                (Some(AnswerEvent::End), Some((status, content_type))) => {
                    break (status, content_type, None);
                }
                (Some(AnswerEvent::Refused(refusal)), _) => return Err(refusal),
                _ => return Err(owner_lost()),
            }
        };
        let now_ms = self.clock.now_ms();
        let first_token_ms = now_ms.saturating_sub(self.sent_ms);
        if (200..300).contains(&status) {
            let elapsed_ms = first_token_ms as f64;
            self.router.first_token(&self.worker, &self.base_model, elapsed_ms, now_ms);
        }
        Ok(StartedResponse { attempt: self, status, content_type, first, first_token_ms })
    }

    /// Returns the next part of a started response, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails when the response cannot be completed.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, Refusal> {
        match self.events.recv().await {
            Some(AnswerEvent::Chunk(data)) => Ok(Some(data)),
            Some(AnswerEvent::End) => Ok(None),
            Some(AnswerEvent::Refused(refusal)) => Err(refusal),
            Some(AnswerEvent::Progress { .. } | AnswerEvent::Head { .. }) | None => {
                Err(owner_lost())
            }
        }
    }

    /// Records the mean time between the tokens of a response.
    pub fn record_between_tokens(&self, mean_ms: f64) {
        let now_ms = self.clock.now_ms();
        self.router.between_tokens(&self.worker, &self.base_model, mean_ms, now_ms);
    }

    fn record_outstanding(&self, outstanding: u32) {
        self.router.reported(&self.worker, outstanding, self.clock.now_ms());
    }
}

impl<RoutePolicy> Drop for ModelAttempt<RoutePolicy>
where
    RoutePolicy: route::Policy,
{
    fn drop(&mut self) {
        self.router.ended(&self.worker);
    }
}

fn owner_lost() -> Refusal {
    Refusal::unknown(502, "owner_lost", "the owner of the worker ended without a whole answer")
}
