//! Relay of a model response to its caller.

use std::sync::Arc;

use hyper::header;
use hyper::{Response, StatusCode};
use jasminetack_domain::adapter;
use jasminetack_domain::request;
use jasminetack_domain::route;
use jasminetack_wire::failure;
use tokio::time;

use super::admission::AdmittedRequest;
use super::body::{Body, BodySender};
use super::caller_error::CallerError;
use super::model_attempt::StartedResponse;
use super::model_context::ModelContext;
use crate::metrics;

/// Content type of streamed responses.
const EVENT_STREAM: &str = "text/event-stream";

/// Relays a started response to its caller.
pub struct ModelRelay<RoutePolicy, Local>
where
    RoutePolicy: route::Policy,
{
    /// Shared context of the model requests.
    pub context: Arc<ModelContext<RoutePolicy, Local>>,
    /// The admitted request.
    pub admitted: AdmittedRequest,
    /// Scheduling class of the request.
    pub class: request::Class,
    /// The response, whose first token has arrived.
    pub response: StartedResponse<RoutePolicy>,
}

enum RelayOutcome {
    Complete,
    CallerDisconnected,
    Broken(CallerError),
}

impl<RoutePolicy, Local> ModelRelay<RoutePolicy, Local>
where
    RoutePolicy: route::Policy + Send + Sync + 'static,
    Local: Send + Sync + 'static,
{
    /// Creates the caller's response and relays its body in a background task.
    ///
    /// # Errors
    ///
    /// Fails when the engine's status or content type is not valid in a response.
    pub fn start(self, adapter: &adapter::AdapterRef) -> Result<Response<Body>, CallerError> {
        let (sender, body) = Body::stream();
        let response = Response::builder()
            .status(self.response.status)
            .header(header::CONTENT_TYPE, &self.response.content_type)
            .header(failure::REQUEST_ID_HEADER, self.admitted.request_id.as_str())
            .header(failure::ADAPTER_HEADER, adapter.to_string())
            .body(body)
            .map_err(|error| {
                CallerError::unknown(StatusCode::BAD_GATEWAY, "bad_answer", error.to_string())
            })?;
        tokio::spawn(self.run(sender));
        Ok(response)
    }

    async fn run(mut self, sender: BodySender) {
        let remaining = self.admitted.remaining(self.context.clock.now_ms());
        let outcome = time::timeout(remaining, self.relay(&sender)).await.unwrap_or_else(|_| {
            let message = "the deadline passed before the response was complete";
            let status = StatusCode::GATEWAY_TIMEOUT;
            RelayOutcome::Broken(CallerError::unknown(status, "deadline_passed", message))
        });
        let result = match &outcome {
            RelayOutcome::Complete => "answered",
            RelayOutcome::CallerDisconnected => "caller-gone",
            RelayOutcome::Broken(_) => "broken",
        };
        self.context.metrics.record_request(self.class, result);
        let detail = format!("worker={} result={result}", self.response.attempt.worker());
        self.context.note(&self.admitted.request_id, "finish", &detail);
        match outcome {
            RelayOutcome::Complete => sender.finish().await,
            RelayOutcome::CallerDisconnected => {}
            RelayOutcome::Broken(error) => {
                // The connection is aborted after the event, because `finish` is not called.
                if self.response.content_type.starts_with(EVENT_STREAM) {
                    let json = error.to_json(&self.admitted.request_id);
                    sender.try_send(format!("event: error\ndata: {json}\n\n").into());
                }
            }
        }
    }

    async fn relay(&mut self, sender: &BodySender) -> RelayOutcome {
        let clock = self.context.clock;
        let start_ms = clock.now_ms();
        let mut chunks = 0_u32;
        let mut next = match self.response.first.take() {
            Some(first) => Ok(Some(first)),
            None => return RelayOutcome::Complete,
        };
        loop {
            match next {
                Ok(Some(data)) => {
                    if !sender.send(data).await {
                        return RelayOutcome::CallerDisconnected;
                    }
                    chunks += 1;
                }
                Ok(None) => break,
                Err(refusal) => {
                    let mut error = CallerError::from(refusal);
                    error.outcome = request::Outcome::Unknown;
                    return RelayOutcome::Broken(error);
                }
            }
            next = tokio::select! {
                next = self.response.attempt.next_chunk() => next,
                // Dropping the attempt cancels the request at the owner.
                () = sender.closed() => return RelayOutcome::CallerDisconnected,
            };
        }
        if chunks > 1 && self.response.content_type.starts_with(EVENT_STREAM) {
            let elapsed_ms = clock.now_ms().saturating_sub(start_ms) as f64;
            let mean_ms = elapsed_ms / f64::from(chunks - 1);
            self.response.attempt.record_between_tokens(mean_ms);
            let histogram = &self.context.metrics.between_tokens;
            histogram.get_or_create(&metrics::class_label(self.class)).observe(mean_ms / 1_000.0);
        }
        RelayOutcome::Complete
    }
}
