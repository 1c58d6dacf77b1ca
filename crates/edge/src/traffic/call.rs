//! One request of a caller.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header;
use hyper::http::request;
use hyper::{Request, Response, StatusCode};
use jasminetack_domain::ingress;
use jasminetack_domain::name;
use tokio::sync::watch;
use tokio::time::{self, Sleep};

use super::answer_body::AnswerBody;
use super::attempt::{self, Exchange};
use super::attempt_outcome::Next;
use super::call_record::CallRecord;
use super::load_guard::LoadGuard;
use super::refusal::{RETRY_AFTER_MS, Refusal};
use super::relay::Relay;
use super::shared::Traffic;
use super::stream_relay::StreamRelay;
use super::worker_request;
use super::worker_search::Target;
use crate::clock;
use crate::dialect;

/// Deadline of requests that name none, on routes without a timeout.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// Time past the deadline in which a worker's own answer about it may still arrive.
const DEADLINE_SLACK_MS: u64 = 120;
/// When a caller should come back while the store that has the configuration is away.
const START_MS: u64 = 1_500;
/// Callers wait for at most a third of their time; a quarter leaves time for the way.
const RETRY_PART: u64 = 4;
/// Factor of the route's goal after which an idempotent request is tried elsewhere.
const PATIENCE: f64 = 1.5;

/// One request of a caller.
pub struct Call<Dialect> {
    pub(super) traffic: Arc<Traffic<Dialect>>,
    pub(super) head: Arc<request::Parts>,
    pub(super) body: Bytes,
    pub(super) facts: dialect::RequestMetadata,
    pub(super) route: Arc<ingress::Route>,
    pub(super) service: name::ServiceName,
    pub(super) received_ms: u64,
    pub(super) deadline_ms: u64,
    pub(super) excluded: Vec<name::WorkerName>,
    /// Times that the request may have run.
    pub(super) possible_runs: u32,
    /// Whether a repeat must be paid for from the budget.
    pub(super) has_arrived: bool,
    /// Whether the next repeat is paid for.
    pub(super) is_prepaid: bool,
    pub(super) revision: watch::Receiver<u64>,
    pub(super) demanded: Option<(name::WorkerName, u64)>,
}

/// Serves a request; the answer is a refusal when it cannot be served.
pub async fn serve<Dialect>(
    traffic: Arc<Traffic<Dialect>>,
    request: Request<Incoming>,
) -> Response<AnswerBody>
where
    Dialect: dialect::Dialect,
{
    let received_ms = clock::now_ms();
    let (head, body) = request.into_parts();
    let facts = match traffic.dialect.decode_request(&head) {
        Ok(facts) => facts,
        Err(problem) => {
            spdlog::info!("refuse reason=bad-request problem={problem:?}");
            return Refusal::rejected(StatusCode::BAD_REQUEST, "bad request").into_response();
        }
    };
    let mut record = CallRecord::new(&traffic.metrics, facts.request_id.clone(), received_ms);
    let call = match Call::admit(traffic, head, body, facts, &mut record, received_ms).await {
        Ok(call) => call,
        Err(refusal) => return refuse(refusal, record),
    };
    call.run(record).await
}

fn refuse(refusal: Refusal, mut record: CallRecord) -> Response<AnswerBody> {
    record.answered(refusal.status.as_u16());
    record.ended(refusal.reason);
    refusal.into_response()
}

impl<Dialect> Call<Dialect>
where
    Dialect: dialect::Dialect,
{
    async fn admit(
        traffic: Arc<Traffic<Dialect>>,
        head: request::Parts,
        body: Incoming,
        facts: dialect::RequestMetadata,
        record: &mut CallRecord,
        received_ms: u64,
    ) -> Result<Self, Refusal> {
        let view = traffic.view.load_full();
        let ingress = view.ingress.as_ref();
        let ingress = ingress.ok_or_else(|| {
            let waits_ms = facts.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
            let retry_after_ms = (waits_ms / RETRY_PART).min(START_MS);
            Refusal::not_run("no configuration yet", retry_after_ms)
        })?;
        let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
        let host = host.map_or("", |host| host.split(':').next().unwrap_or(host));
        let route = ingress.resolve(host, head.uri.path());
        let route = route.ok_or(Refusal::rejected(StatusCode::NOT_FOUND, "no such route"))?;
        record.routed(route, ingress.version());
        record.needs(facts.adapter.as_ref());
        let service = route.service(rand::random());
        let service = service.ok_or(Refusal::not_run("no service", RETRY_AFTER_MS))?.clone();
        traffic.count_request(&service, received_ms);
        if let Some(adapter) = &facts.adapter {
            traffic.chooser.lock().popularity.record_request(adapter, received_ms);
        }
        let waits_ms = facts.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS).min(route.timeout_ms);
        let deadline_ms = received_ms + waits_ms;
        let limits = ingress.limits();
        let read = Limited::new(body, limits.max_body_bytes).collect();
        let limit = Duration::from_millis(limits.idle_timeout_ms.min(waits_ms));
        let body = match time::timeout(limit, read).await {
            Err(_) => return Err(Refusal::rejected(StatusCode::REQUEST_TIMEOUT, "slow body")),
            Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
                return Err(Refusal::rejected(StatusCode::PAYLOAD_TOO_LARGE, "body too large"));
            }
            Ok(Err(_)) => {
                return Err(Refusal::rejected(StatusCode::BAD_REQUEST, "body broken off"));
            }
            Ok(Ok(body)) => body.to_bytes(),
        };
        let revision = traffic.revision.clone();
        Ok(Self {
            traffic,
            head: Arc::new(head),
            body,
            facts,
            route: Arc::clone(route),
            service,
            received_ms,
            deadline_ms,
            excluded: Vec::new(),
            possible_runs: 0,
            has_arrived: false,
            is_prepaid: false,
            revision,
            demanded: None,
        })
    }

    async fn run(mut self, mut record: CallRecord) -> Response<AnswerBody> {
        loop {
            let target = match self.find_worker(&mut record).await {
                Ok(target) => target,
                Err(refusal) => return refuse(refusal, record),
            };
            match self.attempt(&target, &mut record, None).await {
                Ok((response, exchange)) => return self.pass_on(response, exchange, record),
                Err(Next::TryAgain) => {}
                Err(Next::GiveUp(refusal)) => return refuse(refusal, record),
            }
        }
    }

    /// Sends the request to a worker; `last_event_id` continues a stream.
    pub(super) async fn attempt(
        &mut self,
        target: &Target,
        record: &mut CallRecord,
        last_event_id: Option<&str>,
    ) -> Result<(Response<Incoming>, Exchange), Next> {
        let now_ms = clock::now_ms();
        let worker = &target.decision.worker;
        if !self.pay_repeat(now_ms) {
            record.attempt_failed(worker, "no-budget");
            return Err(Next::GiveUp(self.give_up("no budget for a repeat")));
        }
        record.sent(&target.decision);
        let request = self.worker_request(target, last_event_id, now_ms);
        let (adapter, work) = (self.facts.adapter.as_ref(), self.facts.size);
        let chooser = &self.traffic.chooser;
        let control = &self.traffic.control;
        let load = LoadGuard::new(chooser, control, worker, &self.service, adapter, work, now_ms);
        if work.is_generation() {
            let parts = &self.facts.prompt_segments;
            chooser.lock().prompt_cache.record(worker, adapter, parts, now_ms);
        }
        let limit_ms = self.attempt_limit_ms(now_ms);
        let sent =
            attempt::send(&self.traffic.pool, &target.upstream, request, load, limit_ms).await;
        let (response, exchange) = match sent {
            Ok(answer) => answer,
            Err(error) => return Err(self.attempt_failed(worker, error, record)),
        };
        self.has_arrived = true;
        let (head, body) = response.into_parts();
        let facts = self.traffic.dialect.decode_response(&head, &self.facts.request_id);
        if !attempt::belongs(facts, &head) {
            exchange.load.failed(clock::now_ms());
            return Err(self.unknown(worker, "answer-of-another-request", record));
        }
        if facts.is_not_executed {
            return Err(self.not_run(worker, facts, &head, record));
        }
        self.possible_runs += 1;
        let is_failure = head.status.is_server_error();
        if is_failure {
            exchange.load.failed(clock::now_ms());
        }
        // An answer is dropped only when another one can be asked for.
        if is_failure && self.may_run_again() && self.pay_repeat(clock::now_ms()) {
            self.is_prepaid = true;
            record.attempt_failed(worker, "worker-error");
            self.excluded.push(worker.clone());
            return Err(Next::TryAgain);
        }
        Ok((Response::from_parts(head, body), exchange))
    }

    /// Returns whether the next attempt may be sent: it is the first, or the budget pays for it.
    fn pay_repeat(&mut self, now_ms: u64) -> bool {
        !self.has_arrived
            || std::mem::take(&mut self.is_prepaid)
            || self.traffic.take_repeat(&self.service, now_ms)
    }

    /// Returns how long to wait for the head of an answer.
    fn attempt_limit_ms(&self, now_ms: u64) -> u64 {
        let left_ms = (self.deadline_ms + DEADLINE_SLACK_MS).saturating_sub(now_ms);
        let has_other_attempt = self.possible_runs + 1 < self.route.max_attempts;
        if !self.route.kind.is_idempotent() || !has_other_attempt {
            return left_ms;
        }
        left_ms.min((self.route.first_byte_target_ms as f64 * PATIENCE) as u64)
    }

    pub(super) fn may_run_again(&self) -> bool {
        self.route.kind.is_idempotent()
            && self.possible_runs < self.route.max_attempts
            && clock::now_ms() < self.deadline_ms
    }

    fn pass_on(
        self,
        response: Response<Incoming>,
        exchange: Exchange,
        mut record: CallRecord,
    ) -> Response<AnswerBody> {
        let (mut head, incoming) = response.into_parts();
        worker_request::remove_connection_headers(&mut head.headers);
        record.answered(head.status.as_u16());
        let deadline = self.deadline_sleep();
        let kind = self.route.kind;
        let is_resumable = kind.is_stream() && kind.is_idempotent() && head.status.is_success();
        let body = if is_resumable {
            head.headers.remove(header::CONTENT_LENGTH);
            AnswerBody::events(StreamRelay::start(self, incoming, exchange, record, deadline))
        } else {
            let pool = Arc::clone(&self.traffic.pool);
            AnswerBody::relay(Relay::new(exchange, incoming, record, deadline, pool))
        };
        Response::from_parts(head, body)
    }

    fn deadline_sleep(&self) -> Pin<Box<Sleep>> {
        let left_ms = (self.deadline_ms + DEADLINE_SLACK_MS).saturating_sub(clock::now_ms());
        Box::pin(time::sleep(Duration::from_millis(left_ms)))
    }

    /// Excludes a worker from further attempts of a stream that broke off there.
    pub(super) fn broke_off(&mut self, worker: &name::WorkerName) -> bool {
        self.excluded.push(worker.clone());
        self.may_run_again()
    }

    /// Returns the open connections.
    pub(super) fn pool(&self) -> &Arc<super::pool::Pool> {
        &self.traffic.pool
    }

    /// Returns whether a continued answer is a series of events of this request.
    pub(super) fn is_continuation(&self, response: &Response<Incoming>) -> bool {
        response.status().is_success()
    }
}
