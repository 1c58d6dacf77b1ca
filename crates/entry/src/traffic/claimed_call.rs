//! Calls to app services that are executed at most once.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use jasminetack_domain::claim;
use jasminetack_domain::request;
use jasminetack_wire::claim as wire;
use tokio::sync::oneshot;
use tokio::time;

use super::body::{Body, BodySender};
use super::caller_error::CallerError;
use super::concurrency_limiter::ConcurrencyPermit;
use super::service_call::ServiceCall;
use super::service_context::{self, ChosenHost, ServiceContext};
use crate::platform;

/// Maximum size of a recorded response body. Claims are rows of the table service, which also
/// stores the leases, so they must stay small.
const MAX_RECORDED_BYTES: usize = 64 * 1024;

/// A call that is executed at most once for its idempotency key.
pub struct ClaimedCall {
    context: Arc<ServiceContext>,
    call: ServiceCall,
    permit: Option<ConcurrencyPermit>,
}

type ResponseSender = oneshot::Sender<Result<Response<Body>, CallerError>>;

impl ClaimedCall {
    /// Prepares a call; the permit is held until the response ends.
    pub fn new(
        context: Arc<ServiceContext>,
        call: ServiceCall,
        permit: Option<ConcurrencyPermit>,
    ) -> Self {
        Self { context, call, permit }
    }

    /// Claims the key and sends the call, or returns the recorded response of an earlier call.
    ///
    /// # Errors
    ///
    /// Fails when the key cannot be claimed or the service does not respond before the deadline.
    pub async fn run(self, key: &str) -> Result<Response<Body>, CallerError> {
        let admitted = self.call.admitted.clone();
        let key = wire::claim_key(&admitted.team, &self.call.service, key);
        let token = claim::AttemptToken::new(rand::random());
        let attempt = claim::Claim::new(token, self.call.content_digest(), admitted.deadline_ms);
        let remaining = admitted.remaining(self.context.clock.now_ms());
        let claim = self.context.claims.claim(key, attempt);
        // A claim that is stored after the deadline has no receiver: its `HeldClaim` is dropped,
        // which removes the claim.
        let claimed = time::timeout(remaining, claim)
            .await
            .unwrap_or(platform::ClaimOutcome::Refused(claim::Refusal::NotClaimed));
        let held = match claimed {
            platform::ClaimOutcome::Held(held) => held,
            platform::ClaimOutcome::Replay(recorded) => {
                let detail = format!("result=replayed status={}", recorded.status);
                self.context.note(&admitted.request_id, "claim", &detail);
                return self.replay(recorded);
            }
            platform::ClaimOutcome::Refused(refusal) => {
                let detail = format!("result=refused reason={:?}", refusal.to_string());
                self.context.note(&admitted.request_id, "claim", &detail);
                return Err(claim_error(refusal));
            }
        };
        self.context.note(&admitted.request_id, "claim", "result=held");
        let remaining = admitted.remaining(self.context.clock.now_ms());
        let (sender, response) = oneshot::channel();
        // The call continues after the caller disconnects, so that its response is recorded.
        tokio::spawn(self.send(held, sender));
        match time::timeout(remaining, response).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(service_failed("the call ended without a result")),
            Err(_) => {
                let message = "the service did not respond before the deadline";
                let status = StatusCode::GATEWAY_TIMEOUT;
                Err(CallerError::unknown(status, "deadline_passed", message))
            }
        }
    }

    /// Sends the call to one host after the other until it may have been executed.
    async fn send(self, mut held: platform::HeldClaim, sender: ResponseSender) {
        let mut excluded = Vec::new();
        let mut last_error = None;
        loop {
            let Some(host) = self.context.choose_host(&self.call, &excluded) else {
                let error = last_error
                    .unwrap_or_else(|| service_context::no_host_error(&self.call.service));
                let _ = sender.send(Err(error));
                return;
            };
            excluded.push(host.address);
            let connection = match self.context.client.connect(host.address).await {
                Ok(connection) => connection,
                Err(error) => {
                    self.context.record_failure(&self.call, &host, &error);
                    last_error = Some(error);
                    continue;
                }
            };
            // The caller disconnected before the call was sent; dropping the claim removes it.
            if sender.is_closed() {
                return;
            }
            if let Err(refusal) = held.begin_send(self.context.clock.now_ms()) {
                let _ = sender.send(Err(claim_error(refusal)));
                return;
            }
            let response = self.context.client.send_once(host.address, connection, &self.call);
            // `run` reports the deadline to the caller; a later response is still recorded.
            let timeout = Duration::from_millis(self.context.settings.max_timeout_ms);
            let error = match time::timeout(timeout, response).await {
                Ok(Ok(response)) => return self.finish(held, host, response, sender).await,
                Ok(Err(error)) => error,
                Err(_) => service_failed("the service did not respond"),
            };
            self.context.record_failure(&self.call, &host, &error);
            if error.outcome == request::Outcome::Unknown {
                let _ = sender.send(Err(error));
                return;
            }
            held.mark_unsent();
            last_error = Some(error);
        }
    }

    /// Relays the response to the caller and records it when it is complete.
    async fn finish(
        self,
        held: platform::HeldClaim,
        host: ChosenHost,
        response: Response<Incoming>,
        response_sender: ResponseSender,
    ) {
        let (head, upstream) = response.into_parts();
        let status = head.status;
        let content_type = head.headers.get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
        let content_type = content_type.to_owned();
        let (sender, body) = Body::stream();
        let head = Response::from_parts(head, ());
        let head = service_context::prepare_head(head, &self.call.admitted.request_id);
        let _ = response_sender.send(Ok(head.map(|()| body)));
        let timeout = Duration::from_millis(self.context.settings.max_timeout_ms);
        let relayed = time::timeout(timeout, relay_body(upstream, &sender)).await;
        drop((host, self.permit));
        let Ok(Some(recorded)) = relayed else {
            // Dropping the sender without `finish` aborts the caller's connection. The claim stays
            // open, because the call may have been executed.
            self.context.note(&self.call.admitted.request_id, "claim", "result=left-open");
            return;
        };
        let body = recorded.map(|body| Arc::from(body.as_slice()));
        let content_type = Arc::from(content_type);
        let detail = format!("result=done status={} recorded={}", status.as_u16(), body.is_some());
        self.context.note(&self.call.admitted.request_id, "claim", &detail);
        held.record(claim::Answer { status: status.as_u16(), content_type, body });
        sender.finish().await;
    }

    fn replay(&self, recorded: claim::Answer) -> Result<Response<Body>, CallerError> {
        let status = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let Some(body) = recorded.body else {
            let message = format!(
                "the call was executed with status {status}; its response exceeded \
                 {MAX_RECORDED_BYTES} bytes and was not recorded"
            );
            return Err(CallerError::unknown(StatusCode::CONFLICT, "answer_not_recorded", message));
        };
        let mut response = Response::new(());
        *response.status_mut() = status;
        if let Ok(value) = HeaderValue::from_str(&recorded.content_type) {
            response.headers_mut().insert(header::CONTENT_TYPE, value);
        }
        let response = service_context::prepare_head(response, &self.call.admitted.request_id);
        Ok(response.map(|()| Body::full(Bytes::copy_from_slice(&body))))
    }
}

/// Relays a body to its end, also after the caller disconnects. Returns the body, or `Some(None)`
/// when it exceeds `MAX_RECORDED_BYTES`, or `None` when it is incomplete.
async fn relay_body(mut upstream: Incoming, sender: &BodySender) -> Option<Option<Vec<u8>>> {
    let mut recorded = Some(Vec::new());
    while let Some(frame) = upstream.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        let length = recorded.as_ref().map_or(0, Vec::len) + data.len();
        if length > MAX_RECORDED_BYTES {
            recorded = None;
        }
        if let Some(recorded) = &mut recorded {
            recorded.extend_from_slice(&data);
        }
        sender.send(data).await;
    }
    Some(recorded)
}

fn claim_error(refusal: claim::Refusal) -> CallerError {
    let (status, code) = match refusal {
        claim::Refusal::ContentMismatch => (StatusCode::UNPROCESSABLE_ENTITY, "key_reused"),
        claim::Refusal::Open => (StatusCode::CONFLICT, "call_open"),
        claim::Refusal::NotClaimed => (StatusCode::SERVICE_UNAVAILABLE, "not_claimed"),
        claim::Refusal::ClaimExpired => (StatusCode::GATEWAY_TIMEOUT, "deadline_passed"),
    };
    let outcome = refusal.outcome();
    CallerError { outcome, ..CallerError::not_run(status, code, refusal.to_string()) }
}

fn service_failed(message: &str) -> CallerError {
    CallerError::unknown(StatusCode::BAD_GATEWAY, "service_failed", message)
}
