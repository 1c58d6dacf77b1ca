//! Calls that run at most once.

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
use super::ceilings::CeilingGuard;
use super::service_call::ServiceCall;
use super::services::{self, ChosenHost, Services};
use crate::platform;

/// Longest body that is recorded. Claims are rows of the table service, which also has to sustain
/// the leases, so that they must stay small.
const MAX_RECORDED_BYTES: usize = 64 * 1024;

/// A call that runs at most once.
pub struct ClaimedCall {
    services: Arc<Services>,
    call: ServiceCall,
    ceiling: Option<CeilingGuard>,
}

type Reply = oneshot::Sender<Result<Response<Body>, CallerError>>;

impl ClaimedCall {
    /// Prepares a call; the guard is kept until its answer is recorded.
    pub fn new(services: Arc<Services>, call: ServiceCall, ceiling: Option<CeilingGuard>) -> Self {
        Self { services, call, ceiling }
    }

    /// Claims the key and makes the call, or repeats its recorded answer.
    ///
    /// # Errors
    ///
    /// Fails when the key cannot be claimed or the call is not answered before the deadline.
    pub async fn run(self, key: &str) -> Result<Response<Body>, CallerError> {
        let admitted = self.call.admitted.clone();
        let key = wire::claim_key(&admitted.team, &self.call.service, key);
        let token = claim::AttemptToken::new(rand::random());
        let attempt = claim::Claim::new(token, self.call.digest(), admitted.deadline_ms);
        let remaining = admitted.remaining(self.services.clock.now_ms());
        let claim = self.services.claims.claim(key, attempt);
        // A claim that is stored after the deadline is removed again, because nobody takes it.
        let claimed = time::timeout(remaining, claim)
            .await
            .unwrap_or(platform::ClaimOutcome::Refused(claim::Refusal::NotClaimed));
        let held = match claimed {
            platform::ClaimOutcome::Held(held) => held,
            platform::ClaimOutcome::Replay(answer) => {
                let detail = format!("result=replayed status={}", answer.status);
                self.services.note(&admitted.request_id, "claim", &detail);
                return self.replay(answer);
            }
            platform::ClaimOutcome::Refused(refusal) => {
                let detail = format!("result=refused reason={:?}", refusal.to_string());
                self.services.note(&admitted.request_id, "claim", &detail);
                return Err(refused(refusal));
            }
        };
        self.services.note(&admitted.request_id, "claim", "result=held");
        let remaining = admitted.remaining(self.services.clock.now_ms());
        let (reply, answer) = oneshot::channel();
        // The call goes on when the caller hangs up, so that its answer is recorded.
        tokio::spawn(self.send(held, reply));
        match time::timeout(remaining, answer).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(lost("the call ended without a result")),
            Err(_) => {
                let message = "the service did not answer before the deadline";
                let status = StatusCode::GATEWAY_TIMEOUT;
                Err(CallerError::unknown(status, "deadline_passed", message))
            }
        }
    }

    async fn send(self, mut held: platform::HeldClaim, reply: Reply) {
        let mut excluded = Vec::new();
        let mut last = None;
        loop {
            let Some(host) = self.services.choose(&self.call, &excluded) else {
                let error = last.unwrap_or_else(|| services::no_host(&self.call.service));
                let _ = reply.send(Err(error));
                return;
            };
            excluded.push(host.address);
            let connection = match self.services.client.connect(host.address).await {
                Ok(connection) => connection,
                Err(error) => {
                    self.services.failed(&self.call, &host, &error);
                    last = Some(error);
                    continue;
                }
            };
            // A caller that hung up needs no call; dropping the claim removes it.
            if reply.is_closed() {
                return;
            }
            if let Err(refusal) = held.begin_send(self.services.clock.now_ms()) {
                let _ = reply.send(Err(refused(refusal)));
                return;
            }
            let answer = self.services.client.send_once(host.address, connection, &self.call);
            // The caller is told at the deadline; a later answer is recorded all the same.
            let longest = Duration::from_millis(self.services.settings.max_timeout_ms);
            let error = match time::timeout(longest, answer).await {
                Ok(Ok(answer)) => return self.finish(held, host, answer, reply).await,
                Ok(Err(error)) => error,
                Err(_) => lost("the service did not answer"),
            };
            self.services.failed(&self.call, &host, &error);
            if error.outcome == request::Outcome::Unknown {
                let _ = reply.send(Err(error));
                return;
            }
            held.mark_unsent();
            last = Some(error);
        }
    }

    /// Copies the answer to the caller and records it when it is complete.
    async fn finish(
        self,
        held: platform::HeldClaim,
        host: ChosenHost,
        answer: Response<Incoming>,
        reply: Reply,
    ) {
        let (head, upstream) = answer.into_parts();
        let status = head.status;
        let content_type = head.headers.get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
        let content_type = content_type.to_owned();
        let (sender, body) = Body::stream();
        let head = Response::from_parts(head, ());
        let head = services::answer_head(head, &self.call.admitted.request_id);
        let _ = reply.send(Ok(head.map(|()| body)));
        let longest = Duration::from_millis(self.services.settings.max_timeout_ms);
        let copied = time::timeout(longest, copy(upstream, &sender)).await;
        drop((host, self.ceiling));
        let Ok(Some(recorded)) = copied else {
            // Without a call of `finish` the caller's connection is aborted; the claim stays open.
            self.services.note(&self.call.admitted.request_id, "claim", "result=left-open");
            return;
        };
        let body = recorded.map(|body| Arc::from(body.as_slice()));
        let content_type = Arc::from(content_type);
        let detail = format!("result=done status={} recorded={}", status.as_u16(), body.is_some());
        self.services.note(&self.call.admitted.request_id, "claim", &detail);
        held.record(claim::Answer { status: status.as_u16(), content_type, body });
        sender.finish().await;
    }

    fn replay(&self, answer: claim::Answer) -> Result<Response<Body>, CallerError> {
        let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let Some(body) = answer.body else {
            let message = format!(
                "the call ran and was answered with status {status}; its answer was longer than \
                 {MAX_RECORDED_BYTES} bytes and was not recorded"
            );
            return Err(CallerError::unknown(StatusCode::CONFLICT, "answer_not_recorded", message));
        };
        let mut response = Response::new(());
        *response.status_mut() = status;
        if let Ok(value) = HeaderValue::from_str(&answer.content_type) {
            response.headers_mut().insert(header::CONTENT_TYPE, value);
        }
        let response = services::answer_head(response, &self.call.admitted.request_id);
        Ok(response.map(|()| Body::full(Bytes::copy_from_slice(&body))))
    }
}

/// Copies a body to the end, also without a caller, and returns it unless it is too long; `None`
/// when the body is not complete.
async fn copy(mut upstream: Incoming, sender: &BodySender) -> Option<Option<Vec<u8>>> {
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

fn refused(refusal: claim::Refusal) -> CallerError {
    let (status, code) = match refusal {
        claim::Refusal::ContentMismatch => (StatusCode::UNPROCESSABLE_ENTITY, "key_reused"),
        claim::Refusal::Open => (StatusCode::CONFLICT, "call_open"),
        claim::Refusal::NotClaimed => (StatusCode::SERVICE_UNAVAILABLE, "not_claimed"),
        claim::Refusal::ClaimExpired => (StatusCode::GATEWAY_TIMEOUT, "deadline_passed"),
    };
    let outcome = refusal.outcome();
    CallerError { outcome, ..CallerError::not_run(status, code, refusal.to_string()) }
}

fn lost(message: &str) -> CallerError {
    CallerError::unknown(StatusCode::BAD_GATEWAY, "service_failed", message)
}
