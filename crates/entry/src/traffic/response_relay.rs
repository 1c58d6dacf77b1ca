//! Relay of an engine's response, which is validated and resumed after broken connections.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Response, header};
use jasminetack_domain::adapter;
use jasminetack_wire::engine;
use jasminetack_wire::failure;
use tokio::time;

use super::event_splitter::{Event, EventSplitter};
use super::model_request::ModelRequest;
use super::owned_worker::{OwnedWorker, is_fenced, is_instance_missing};
use super::request_context::{Cancellation, RequestContext};
use super::response_event::{Refusal, ResponseEvent};

/// Delays before the attempts to resume a response after a broken connection.
const RESUME_DELAYS_MS: [u64; 3] = [0, 100, 400];
/// Maximum number of broken connections after which one response is resumed.
const MAX_RESUMPTIONS: u32 = 5;
/// Data of the event that ends a complete response.
const DONE: &[u8] = b"[DONE]";

/// Relays one response.
#[derive(Debug)]
pub struct ResponseRelay<'a> {
    owned: &'a Arc<OwnedWorker>,
    order: &'a ModelRequest,
    instance: &'a adapter::InstanceName,
    context: &'a RequestContext,
    /// Whether the instance name differs from the adapter version that callers know.
    replaces_instance_name: bool,
    content_type: String,
    is_head_sent: bool,
    is_usage_sent: bool,
    output_tokens: usize,
}

/// Why reading a response ended.
enum ReadEnd {
    Complete,
    /// The connection broke; the engine may be able to resume the response.
    Broken(String),
    Failed(Refusal),
}

impl From<Cancellation> for ReadEnd {
    fn from(cancellation: Cancellation) -> Self {
        Self::Failed(cancellation.unknown())
    }
}

impl<'a> ResponseRelay<'a> {
    /// Creates the relay of a response that must come from the pinned instance.
    pub fn new(
        owned: &'a Arc<OwnedWorker>,
        order: &'a ModelRequest,
        instance: &'a adapter::InstanceName,
        context: &'a RequestContext,
    ) -> Self {
        Self {
            owned,
            order,
            instance,
            context,
            replaces_instance_name: *instance != adapter::InstanceName::unfenced(&order.adapter),
            content_type: String::new(),
            is_head_sent: false,
            is_usage_sent: false,
            output_tokens: 0,
        }
    }

    /// Returns the number of output tokens received.
    pub fn output_tokens(&self) -> u64 {
        self.output_tokens as u64
    }

    /// Relays a response that is a single JSON document.
    ///
    /// # Errors
    ///
    /// Fails when the response is incomplete or from another instance.
    pub async fn relay_json(&mut self, response: Response<Incoming>) -> Result<(), Refusal> {
        self.content_type = content_type(&response);
        let body = self.context.run_with_progress(response.into_body().collect()).await;
        let body = body.map_err(Cancellation::unknown)?;
        let body = body.map_err(|error| broken_response(&error.to_string()))?.to_bytes();
        let part: engine::AnswerPart =
            serde_json::from_slice(&body).map_err(|error| broken_response(&error.to_string()))?;
        self.check_instance(&part, true)?;
        let usage = part.usage.unwrap_or_default();
        self.output_tokens = usize::try_from(usage.completion_tokens).unwrap_or(usize::MAX);
        self.send_head().await.map_err(Cancellation::unknown)?;
        let body = if self.replaces_instance_name {
            self.replace_instance_name(&body).unwrap_or(body)
        } else {
            body
        };
        self.context.send(ResponseEvent::Chunk(body)).await.map_err(Cancellation::unknown)
    }

    /// Relays a response that is a stream of events; resumes it after broken connections.
    ///
    /// # Errors
    ///
    /// Fails when the response cannot be completed or is from another instance.
    pub async fn relay_stream(&mut self, response: Response<Incoming>) -> Result<(), Refusal> {
        self.content_type = content_type(&response);
        let mut body = response.into_body();
        let mut resumptions = 0;
        loop {
            let message = match self.read(body).await {
                ReadEnd::Complete => return Ok(()),
                ReadEnd::Failed(refusal) => return Err(self.end_with_error(refusal).await),
                ReadEnd::Broken(message) => message,
            };
            resumptions += 1;
            if resumptions > MAX_RESUMPTIONS {
                return Err(self.end_with_error(broken_response(&message)).await);
            }
            body = match self.resume(&message).await {
                Ok(body) => body,
                Err(refusal) => return Err(self.end_with_error(refusal).await),
            };
        }
    }

    async fn read(&mut self, mut body: Incoming) -> ReadEnd {
        let mut splitter = EventSplitter::default();
        loop {
            let frame = body.frame();
            let frame = if self.is_head_sent {
                self.context.run(frame).await
            } else {
                self.context.run_with_progress(frame).await
            };
            let data = match frame {
                Err(cancellation) => return cancellation.into(),
                Ok(None) => {
                    return ReadEnd::Broken(
                        "the engine closed the stream before [DONE]".to_owned(),
                    );
                }
                Ok(Some(Err(error))) => return ReadEnd::Broken(error.to_string()),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            if !splitter.push(&data) {
                return ReadEnd::Failed(broken_response("an event exceeds the size limit"));
            }
            while let Some(event) = splitter.next_event() {
                match self.relay_event(&event).await {
                    Ok(false) => {}
                    Ok(true) => return ReadEnd::Complete,
                    Err(end) => return end,
                }
            }
        }
    }

    /// Validates and relays one event; returns whether it was the last one.
    async fn relay_event(&mut self, event: &Event) -> Result<bool, ReadEnd> {
        let Some(data) = event.data() else { return Ok(false) };
        if data == DONE {
            if !self.is_head_sent {
                return Err(ReadEnd::Failed(broken_response("the response names no instance")));
            }
            self.context.send(ResponseEvent::Chunk(event.raw.clone())).await?;
            return Ok(true);
        }
        let part: engine::AnswerPart = serde_json::from_slice(data)
            .map_err(|error| ReadEnd::Failed(broken_response(&error.to_string())))?;
        if let Some(error) = part.error {
            return Err(ReadEnd::Failed(broken_response(&format!("the engine failed: {error}"))));
        }
        self.check_instance(&part, !self.is_head_sent).map_err(ReadEnd::Failed)?;
        if part.choices.is_empty() && std::mem::replace(&mut self.is_usage_sent, true) {
            // A resumed response sends the token usage again at its end.
            return Ok(false);
        }
        self.send_head().await?;
        self.output_tokens += usize::from(!part.choices.is_empty());
        let raw =
            match self.replaces_instance_name.then(|| self.replace_instance_name(data)).flatten() {
                Some(data) => [b"data: ", &*data, b"\n\n"].concat().into(),
                None => event.raw.clone(),
            };
        self.context.send(ResponseEvent::Chunk(raw)).await?;
        Ok(false)
    }

    /// Requests the rest of the response after the tokens that were received.
    async fn resume(&self, message: &str) -> Result<Incoming, Refusal> {
        let request_id = &self.order.request_id;
        spdlog::warn!("answer-broken", kv: {
            request_id = request_id.as_str(),
            worker = self.owned.grant.worker.as_str(),
            offset_tokens = self.output_tokens,
            error = message,
        });
        let engines = &self.owned.context.engines;
        let mut last_error = broken_response(message);
        for delay_ms in RESUME_DELAYS_MS {
            let attempt = async {
                time::sleep(Duration::from_millis(delay_ms)).await;
                engines.resume(self.owned.engine, request_id, self.output_tokens).await
            };
            let attempt = if self.is_head_sent {
                self.context.run(attempt).await
            } else {
                self.context.run_with_progress(attempt).await
            };
            match attempt.map_err(Cancellation::unknown)? {
                Ok(response) => return Ok(response.into_body()),
                Err(error) => {
                    last_error = broken_response(&error.message);
                    if is_fenced(&error) {
                        self.owned.mark_superseded();
                    }
                    if is_fenced(&error) || is_instance_missing(&error) {
                        break;
                    }
                }
            }
        }
        Err(last_error)
    }

    async fn send_head(&mut self) -> Result<(), Cancellation> {
        if self.is_head_sent {
            return Ok(());
        }
        let head = ResponseEvent::Head {
            status: 200,
            content_type: self.content_type.clone(),
            outstanding: self.owned.outstanding(),
        };
        self.context.send(head).await?;
        self.is_head_sent = true;
        Ok(())
    }

    fn check_instance(&self, part: &engine::AnswerPart, is_required: bool) -> Result<(), Refusal> {
        match &part.model {
            Some(model) if model == self.instance.as_str() => Ok(()),
            None if !is_required => Ok(()),
            found => {
                let found = found.as_deref().unwrap_or("no instance");
                let message =
                    format!("expected instance {}, response names {found}", self.instance);
                Err(Refusal::unknown(502, "wrong_instance", message))
            }
        }
    }

    /// Replaces the instance name by the adapter version that callers know.
    fn replace_instance_name(&self, data: &[u8]) -> Option<Bytes> {
        let mut response: serde_json::Value = serde_json::from_slice(data).ok()?;
        *response.get_mut("model")? = self.order.adapter.to_string().into();
        serde_json::to_vec(&response).ok().map(Bytes::from)
    }

    /// Ends a stream that cannot be completed with an `error` event instead of `[DONE]`, if its
    /// head was sent; returns the refusal.
    async fn end_with_error(&self, refusal: Refusal) -> Refusal {
        if !self.is_head_sent {
            return refusal;
        }
        let body = failure::ErrorResponse {
            error: failure::ErrorBody {
                message: refusal.message.clone(),
                kind: "server_error".to_owned(),
                code: refusal.code.clone(),
                outcome: refusal.outcome.as_str().to_owned(),
                request_id: self.order.request_id.to_string(),
            },
        };
        let body = serde_json::to_string(&body).unwrap_or_default();
        let event = format!("event: error\ndata: {body}\n\n");
        self.context.send_last(ResponseEvent::Chunk(event.into())).await;
        refusal
    }
}

fn broken_response(message: &str) -> Refusal {
    Refusal::unknown(502, "answer_broken", message)
}

fn content_type(response: &Response<Incoming>) -> String {
    let value = response.headers().get(header::CONTENT_TYPE);
    value.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}
