//! Relay of an engine's answer, checked and resumed where it breaks.

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

use super::answer_event::{AnswerEvent, Refusal};
use super::attendance::{Attendance, Interruption};
use super::event_splitter::{Event, EventSplitter};
use super::model_request::ModelRequest;
use super::owned_worker::{OwnedWorker, is_fenced, is_instance_missing};

/// Pauses before the attempts to resume one break of an answer.
const RESUME_PAUSES_MS: [u64; 3] = [0, 100, 400];
/// Breaks of one answer that are resumed.
const MAX_BREAKS: u32 = 5;
/// Data of the event that ends a complete answer.
const DONE: &[u8] = b"[DONE]";

/// Relays one answer.
#[derive(Debug)]
pub struct AnswerRelay<'a> {
    owned: &'a Arc<OwnedWorker>,
    order: &'a ModelRequest,
    instance: &'a adapter::InstanceName,
    attendance: &'a Attendance,
    /// Whether the instance name differs from the adapter that the caller asked for.
    is_renamed: bool,
    content_type: String,
    is_head_sent: bool,
    is_usage_sent: bool,
    output_tokens: usize,
}

/// Why reading an answer ended.
enum Reading {
    Complete,
    /// The connection broke; the engine may still know the request.
    Broken(String),
    Failed(Refusal),
}

impl From<Interruption> for Reading {
    fn from(interruption: Interruption) -> Self {
        Self::Failed(interruption.unknown())
    }
}

impl<'a> AnswerRelay<'a> {
    /// Creates the relay of an answer that the pinned instance must give.
    pub fn new(
        owned: &'a Arc<OwnedWorker>,
        order: &'a ModelRequest,
        instance: &'a adapter::InstanceName,
        attendance: &'a Attendance,
    ) -> Self {
        Self {
            owned,
            order,
            instance,
            attendance,
            is_renamed: *instance != adapter::InstanceName::unfenced(&order.adapter),
            content_type: String::new(),
            is_head_sent: false,
            is_usage_sent: false,
            output_tokens: 0,
        }
    }

    /// Returns the number of tokens that were received.
    pub fn output_tokens(&self) -> u64 {
        self.output_tokens as u64
    }

    /// Relays an answer that is sent as one JSON body.
    ///
    /// # Errors
    ///
    /// Fails when the answer is incomplete or another instance gave it.
    pub async fn whole(&mut self, response: Response<Incoming>) -> Result<(), Refusal> {
        self.content_type = content_type(&response);
        let body = self.attendance.with_progress(response.into_body().collect()).await;
        let body = body.map_err(Interruption::unknown)?;
        let body = body.map_err(|error| broken(&error.to_string()))?.to_bytes();
        let part: engine::AnswerPart =
            serde_json::from_slice(&body).map_err(|error| broken(&error.to_string()))?;
        self.check_instance(&part, true)?;
        let usage = part.usage.unwrap_or_default();
        self.output_tokens = usize::try_from(usage.completion_tokens).unwrap_or(usize::MAX);
        self.send_head().await.map_err(Interruption::unknown)?;
        let body = if self.is_renamed { self.rename(&body).unwrap_or(body) } else { body };
        self.attendance.send(AnswerEvent::Chunk(body)).await.map_err(Interruption::unknown)
    }

    /// Relays an answer that is sent as a stream of events; resumes it where it breaks.
    ///
    /// # Errors
    ///
    /// Fails when the answer cannot be completed or another instance gave it.
    pub async fn stream(&mut self, response: Response<Incoming>) -> Result<(), Refusal> {
        self.content_type = content_type(&response);
        let mut body = response.into_body();
        let mut breaks = 0;
        loop {
            let message = match self.read(body).await {
                Reading::Complete => return Ok(()),
                Reading::Failed(refusal) => return Err(self.fail(refusal).await),
                Reading::Broken(message) => message,
            };
            breaks += 1;
            if breaks > MAX_BREAKS {
                return Err(self.fail(broken(&message)).await);
            }
            body = match self.resume(&message).await {
                Ok(body) => body,
                Err(refusal) => return Err(self.fail(refusal).await),
            };
        }
    }

    async fn read(&mut self, mut body: Incoming) -> Reading {
        let mut splitter = EventSplitter::default();
        loop {
            let frame = body.frame();
            let frame = if self.is_head_sent {
                self.attendance.quietly(frame).await
            } else {
                self.attendance.with_progress(frame).await
            };
            let data = match frame {
                Err(interruption) => return interruption.into(),
                Ok(None) => return Reading::Broken("the answer ended early".to_owned()),
                Ok(Some(Err(error))) => return Reading::Broken(error.to_string()),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            if !splitter.push(&data) {
                return Reading::Failed(broken("an event is too long"));
            }
            while let Some(event) = splitter.next_event() {
                match self.relay_event(&event).await {
                    Ok(false) => {}
                    Ok(true) => return Reading::Complete,
                    Err(reading) => return reading,
                }
            }
        }
    }

    /// Checks and relays one event; returns whether it was the last one.
    async fn relay_event(&mut self, event: &Event) -> Result<bool, Reading> {
        let Some(data) = event.data() else { return Ok(false) };
        if data == DONE {
            if !self.is_head_sent {
                return Err(Reading::Failed(broken("the answer names no instance")));
            }
            self.attendance.send(AnswerEvent::Chunk(event.raw.clone())).await?;
            return Ok(true);
        }
        let part: engine::AnswerPart = serde_json::from_slice(data)
            .map_err(|error| Reading::Failed(broken(&error.to_string())))?;
        if let Some(error) = part.error {
            return Err(Reading::Failed(broken(&format!("the engine failed: {error}"))));
        }
        self.check_instance(&part, !self.is_head_sent).map_err(Reading::Failed)?;
        if part.choices.is_empty() && std::mem::replace(&mut self.is_usage_sent, true) {
            // A resumed answer repeats the counts at its end.
            return Ok(false);
        }
        self.send_head().await?;
        self.output_tokens += usize::from(!part.choices.is_empty());
        let raw = match self.is_renamed.then(|| self.rename(data)).flatten() {
            Some(data) => [b"data: ", &*data, b"\n\n"].concat().into(),
            None => event.raw.clone(),
        };
        self.attendance.send(AnswerEvent::Chunk(raw)).await?;
        Ok(false)
    }

    /// Asks for the rest of the answer after the tokens that were received.
    async fn resume(&self, message: &str) -> Result<Incoming, Refusal> {
        let request_id = &self.order.request_id;
        spdlog::warn!("answer-broken", kv: {
            request_id = request_id.as_str(),
            worker = self.owned.grant.worker.as_str(),
            offset_tokens = self.output_tokens,
            error = message,
        });
        let engines = &self.owned.context.engines;
        let mut last = broken(message);
        for pause_ms in RESUME_PAUSES_MS {
            let attempt = async {
                time::sleep(Duration::from_millis(pause_ms)).await;
                engines.resume(self.owned.engine, request_id, self.output_tokens).await
            };
            let attempt = if self.is_head_sent {
                self.attendance.quietly(attempt).await
            } else {
                self.attendance.with_progress(attempt).await
            };
            match attempt.map_err(Interruption::unknown)? {
                Ok(response) => return Ok(response.into_body()),
                Err(error) => {
                    last = broken(&error.message);
                    if is_fenced(&error) {
                        self.owned.mark_superseded();
                    }
                    if is_fenced(&error) || is_instance_missing(&error) {
                        break;
                    }
                }
            }
        }
        Err(last)
    }

    async fn send_head(&mut self) -> Result<(), Interruption> {
        if self.is_head_sent {
            return Ok(());
        }
        let head = AnswerEvent::Head {
            status: 200,
            content_type: self.content_type.clone(),
            outstanding: self.owned.outstanding(),
        };
        self.attendance.send(head).await?;
        self.is_head_sent = true;
        Ok(())
    }

    fn check_instance(&self, part: &engine::AnswerPart, is_needed: bool) -> Result<(), Refusal> {
        match &part.model {
            Some(model) if model == self.instance.as_str() => Ok(()),
            None if !is_needed => Ok(()),
            answered => {
                let answered = answered.as_deref().unwrap_or("no instance");
                let message = format!("{} was asked, {answered} answered", self.instance);
                Err(Refusal::unknown(502, "wrong_instance", message))
            }
        }
    }

    /// Replaces the instance name by the adapter version that the caller knows.
    fn rename(&self, data: &[u8]) -> Option<Bytes> {
        let mut answer: serde_json::Value = serde_json::from_slice(data).ok()?;
        *answer.get_mut("model")? = self.order.adapter.to_string().into();
        serde_json::to_vec(&answer).ok().map(Bytes::from)
    }

    /// Ends a stream that cannot be completed with an `error` event instead of `[DONE]`.
    async fn fail(&self, refusal: Refusal) -> Refusal {
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
        self.attendance.send_last(AnswerEvent::Chunk(event.into())).await;
        refusal
    }
}

fn broken(message: &str) -> Refusal {
    Refusal::unknown(502, "answer_broken", message)
}

fn content_type(response: &Response<Incoming>) -> String {
    let value = response.headers().get(header::CONTENT_TYPE);
    value.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}
