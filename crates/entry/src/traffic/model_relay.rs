//! Copying of a model answer to its caller.

use std::sync::Arc;

use hyper::header;
use hyper::{Response, StatusCode};
use jasminetack_domain::adapter;
use jasminetack_domain::request;
use jasminetack_domain::route;
use jasminetack_wire::failure;
use tokio::time;

use super::admission::Admitted;
use super::body::{Body, BodySender};
use super::caller_error::CallerError;
use super::model_attempt::StartedAnswer;
use super::models::Models;
use crate::metrics;

/// Content type of streamed answers.
const EVENT_STREAM: &str = "text/event-stream";

/// Copies a started answer to its caller.
pub struct ModelRelay<RoutePolicy, Local>
where
    RoutePolicy: route::Policy,
{
    /// What all model requests share.
    pub models: Arc<Models<RoutePolicy, Local>>,
    /// The request.
    pub admitted: Admitted,
    /// Class of the request.
    pub class: request::Class,
    /// The answer.
    pub answer: StartedAnswer<RoutePolicy>,
}

enum Ending {
    Complete,
    CallerGone,
    Broken(CallerError),
}

impl<RoutePolicy, Local> ModelRelay<RoutePolicy, Local>
where
    RoutePolicy: route::Policy + Send + Sync + 'static,
    Local: Send + Sync + 'static,
{
    /// Creates the response and copies the answer in the background.
    ///
    /// # Errors
    ///
    /// Fails when the upstream's head cannot be repeated.
    pub fn start(self, adapter: &adapter::AdapterRef) -> Result<Response<Body>, CallerError> {
        let (sender, body) = Body::stream();
        let response = Response::builder()
            .status(self.answer.status)
            .header(header::CONTENT_TYPE, &self.answer.content_type)
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
        let remaining = self.admitted.remaining(self.models.clock.now_ms());
        let ending = time::timeout(remaining, self.copy(&sender)).await.unwrap_or_else(|_| {
            let message = "the deadline passed before the answer was complete";
            let status = StatusCode::GATEWAY_TIMEOUT;
            Ending::Broken(CallerError::unknown(status, "deadline_passed", message))
        });
        let result = match &ending {
            Ending::Complete => "answered",
            Ending::CallerGone => "caller-gone",
            Ending::Broken(_) => "broken",
        };
        self.models.metrics.record_request(self.class, result);
        let detail = format!("worker={} result={result}", self.answer.attempt.worker());
        self.models.note(&self.admitted.request_id, "finish", &detail);
        match ending {
            Ending::Complete => sender.finish().await,
            Ending::CallerGone => {}
            Ending::Broken(error) => {
                // Without a call of `finish` the connection is aborted after the event.
                if self.answer.content_type.starts_with(EVENT_STREAM) {
                    let json = error.to_json(&self.admitted.request_id);
                    sender.try_send(format!("event: error\ndata: {json}\n\n").into());
                }
            }
        }
    }

    async fn copy(&mut self, sender: &BodySender) -> Ending {
        let clock = self.models.clock;
        let first_ms = clock.now_ms();
        let mut chunks = 0_u32;
        let mut next = match self.answer.first.take() {
            Some(first) => Ok(Some(first)),
            None => return Ending::Complete,
        };
        loop {
            match next {
                Ok(Some(data)) => {
                    if !sender.send(data).await {
                        return Ending::CallerGone;
                    }
                    chunks += 1;
                }
                Ok(None) => break,
                Err(refusal) => {
                    let mut error = CallerError::from(refusal);
                    error.outcome = request::Outcome::Unknown;
                    return Ending::Broken(error);
                }
            }
            next = tokio::select! {
                next = self.answer.attempt.next() => next,
                // Dropping the attempt cancels the request at the owner.
                () = sender.closed() => return Ending::CallerGone,
            };
        }
        if chunks > 1 && self.answer.content_type.starts_with(EVENT_STREAM) {
            let elapsed_ms = clock.now_ms().saturating_sub(first_ms) as f64;
            let mean_ms = elapsed_ms / f64::from(chunks - 1);
            self.answer.attempt.between_tokens(mean_ms);
            let times = &self.models.metrics.between_tokens;
            times.get_or_create(&metrics::class_label(self.class)).observe(mean_ms / 1_000.0);
        }
        Ending::Complete
    }
}
