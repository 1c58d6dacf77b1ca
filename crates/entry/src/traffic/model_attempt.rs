//! One attempt to have a model request served by a worker.

use std::sync::Arc;

use bytes::Bytes;
use jasminetack_domain::name;
use jasminetack_domain::route;
use tokio::sync::mpsc;

use super::response_event::{Refusal, ResponseEvent};
use super::router::Router;
use crate::clock;

/// An attempt that was sent to the owner of a worker; dropping it cancels the request there.
#[derive(Debug)]
pub struct ModelAttempt<RoutePolicy>
where
    RoutePolicy: route::Policy,
{
    worker: name::WorkerName,
    base_model: name::BaseModelName,
    sent_ms: u64,
    events: mpsc::Receiver<ResponseEvent>,
    router: Arc<Router<RoutePolicy>>,
    clock: clock::Clock,
}

/// An answer whose first token has arrived.
#[derive(Debug)]
pub struct StartedAnswer<RoutePolicy>
where
    RoutePolicy: route::Policy,
{
    /// The attempt, from which the rest of the answer comes.
    pub attempt: ModelAttempt<RoutePolicy>,
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// First part of the answer; `None` for a complete answer without content.
    pub first: Option<Bytes>,
    /// Time from sending the request to the first token.
    pub first_token_ms: u64,
}

impl<RoutePolicy> ModelAttempt<RoutePolicy>
where
    RoutePolicy: route::Policy,
{
    /// Counts an attempt that was sent to a worker.
    pub fn new(
        worker: name::WorkerName,
        base_model: name::BaseModelName,
        events: mpsc::Receiver<ResponseEvent>,
        router: Arc<Router<RoutePolicy>>,
        clock: clock::Clock,
    ) -> Self {
        router.record_sent(&worker);
        let sent_ms = clock.now_ms();
        Self { worker, base_model, sent_ms, events, router, clock }
    }

    /// Returns the worker.
    pub fn worker(&self) -> &name::WorkerName {
        &self.worker
    }

    /// Waits for the first token. The head alone does not count, because engines send it before
    /// they begin to work, and a request can be sent elsewhere until a token arrives.
    ///
    /// # Errors
    ///
    /// Fails with the owner's refusal, or with an unknown outcome when the owner is lost.
    pub async fn start(mut self) -> Result<StartedAnswer<RoutePolicy>, Refusal> {
        let mut head = None;
        let (status, content_type, first) = loop {
            match (self.events.recv().await, head.take()) {
                (Some(ResponseEvent::Progress { outstanding }), None) => {
                    self.reported(outstanding);
                }
                (Some(ResponseEvent::Head { status, content_type, outstanding }), None) => {
                    self.reported(outstanding);
                    head = Some((status, content_type));
                }
                (Some(ResponseEvent::Chunk(data)), Some((status, content_type))) => {
                    break (status, content_type, Some(data));
                }
                (Some(ResponseEvent::End), Some((status, content_type))) => {
                    break (status, content_type, None);
                }
                (Some(ResponseEvent::Refused(refusal)), _) => return Err(refusal),
                _ => return Err(lost()),
            }
        };
        let now_ms = self.clock.now_ms();
        let first_token_ms = now_ms.saturating_sub(self.sent_ms);
        if (200..300).contains(&status) {
            let elapsed_ms = first_token_ms as f64;
            self.router.record_first_token(&self.worker, &self.base_model, elapsed_ms, now_ms);
        }
        Ok(StartedAnswer { attempt: self, status, content_type, first, first_token_ms })
    }

    /// Returns the next part of a started answer, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails when the answer cannot be completed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Refusal> {
        match self.events.recv().await {
            Some(ResponseEvent::Chunk(data)) => Ok(Some(data)),
            Some(ResponseEvent::End) => Ok(None),
            Some(ResponseEvent::Refused(refusal)) => Err(refusal),
            Some(ResponseEvent::Progress { .. } | ResponseEvent::Head { .. }) | None => Err(lost()),
        }
    }

    /// Records the mean time between the tokens of an answer.
    pub fn between_tokens(&self, mean_ms: f64) {
        let now_ms = self.clock.now_ms();
        self.router.record_between_tokens(&self.worker, &self.base_model, mean_ms, now_ms);
    }

    fn reported(&self, outstanding: u32) {
        self.router.apply_report(&self.worker, outstanding, self.clock.now_ms());
    }
}

impl<RoutePolicy> Drop for ModelAttempt<RoutePolicy>
where
    RoutePolicy: route::Policy,
{
    fn drop(&mut self) {
        self.router.record_end(&self.worker);
    }
}

fn lost() -> Refusal {
    Refusal::unknown(502, "owner_lost", "the owner of the worker ended without a whole answer")
}
