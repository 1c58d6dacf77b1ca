//! Streaming of events that another worker resumes after an interruption.

use std::pin::Pin;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::Sleep;

use super::attempt::Exchange;
use super::caller::KEY_REVOKED;
use super::event_buffer::EventBuffer;
use super::proxy_request::ProxyRequest;
use super::request_record::RequestRecord;
use super::response_body::IncompleteResponse;
use crate::clock;
use crate::dialect;

/// Chunks buffered for a slow caller; above it, no more data is read from the worker.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// Forwards a stream of events and resumes it on another worker when it is interrupted.
pub struct StreamRelay<Dialect> {
    request: ProxyRequest<Dialect>,
    record: RequestRecord,
    events: EventBuffer,
    chunks: mpsc::Sender<Result<Bytes, IncompleteResponse>>,
}

/// How the response of one worker ended.
enum RelayEnd {
    Complete,
    Interrupted,
    CallerDisconnected,
}

impl<Dialect> StreamRelay<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Starts forwarding a stream; the channel ends with an empty chunk or an error.
    pub fn start(
        request: ProxyRequest<Dialect>,
        incoming: Incoming,
        exchange: Exchange,
        record: RequestRecord,
        deadline: Pin<Box<Sleep>>,
    ) -> mpsc::Receiver<Result<Bytes, IncompleteResponse>> {
        let (chunks, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        let relay = Self { request, record, events: EventBuffer::default(), chunks };
        tokio::spawn(relay.run(incoming, exchange, deadline));
        receiver
    }

    async fn run(mut self, incoming: Incoming, exchange: Exchange, mut deadline: Pin<Box<Sleep>>) {
        let caller = self.chunks.clone();
        let mut revocation = self.request.take_revocation();
        let failure = tokio::select! {
            result = self.relay(incoming, exchange) => result,
            () = &mut deadline => Some("deadline"),
            () = revocation.revoked() => Some(KEY_REVOKED),
            () = caller.closed() => return,
        };
        let last = match failure {
            None => {
                self.record.set_outcome("answered");
                Ok(Bytes::new())
            }
            Some(reason) => {
                self.record.set_outcome(reason);
                Err(IncompleteResponse { reason })
            }
        };
        // Sending fails if the caller has disconnected.
        let _ = self.chunks.send(last).await;
    }

    /// Forwards the stream until it is complete; returns the reason if it remains incomplete.
    async fn relay(&mut self, incoming: Incoming, exchange: Exchange) -> Option<&'static str> {
        let mut source = (incoming, exchange);
        loop {
            let worker = source.1.worker().clone();
            match self.forward(source.0, source.1).await {
                RelayEnd::Complete => return None,
                RelayEnd::CallerDisconnected => return Some("caller-left"),
                RelayEnd::Interrupted => {}
            }
            self.record.record_attempt_failure(&worker, "worker-broke-off");
            self.events.discard_partial();
            if !self.request.exclude_interrupted(&worker) {
                return Some("worker-broke-off");
            }
            source = match self.resume().await {
                Ok(source) => source,
                Err(reason) => return Some(reason),
            };
        }
    }

    /// Forwards the complete events of one worker's response.
    async fn forward(&mut self, mut incoming: Incoming, mut exchange: Exchange) -> RelayEnd {
        loop {
            let data = match incoming.frame().await {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(_)) => {
                    exchange.load.record_failure(clock::now_ms());
                    exchange.answer.record_interruption();
                    return RelayEnd::Interrupted;
                }
                None => break,
            };
            let now_ms = clock::now_ms();
            exchange.load.record_data(now_ms);
            exchange.answer.record_part(now_ms);
            let Some(complete) = self.events.push(&data) else {
                exchange.load.record_failure(clock::now_ms());
                return RelayEnd::Interrupted;
            };
            if complete.is_empty() {
                continue;
            }
            self.record.record_part(now_ms);
            if self.chunks.send(Ok(complete)).await.is_err() {
                return RelayEnd::CallerDisconnected;
            }
        }
        if self.events.is_inside_event() {
            exchange.load.record_failure(clock::now_ms());
            exchange.answer.record_interruption();
            return RelayEnd::Interrupted;
        }
        let Exchange { connection, load, mut answer } = exchange;
        let now_ms = clock::now_ms();
        answer.record_end(now_ms);
        self.request.pool().put(load.worker(), connection, now_ms);
        RelayEnd::Complete
    }

    /// Resumes the stream on another worker after the last complete event.
    async fn resume(&mut self) -> Result<(Incoming, Exchange), &'static str> {
        loop {
            let target = self.request.find_worker(&mut self.record).await;
            let target = target.map_err(|refusal| refusal.reason)?;
            let last_id = self.events.last_id().map(str::to_owned);
            let result = self.request.attempt(&target, &mut self.record, last_id.as_deref()).await;
            match result {
                Ok((response, exchange)) if self.request.is_continuation(&response) => {
                    return Ok((response.into_body(), exchange));
                }
                Ok(_) => return Err("not-continued"),
                Err(decision) => decision.into_result()?,
            }
        }
    }
}
