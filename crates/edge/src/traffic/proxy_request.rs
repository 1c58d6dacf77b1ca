//! Proxying of one caller's request to workers.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header;
use hyper::http::request;
use hyper::{Request, Response, StatusCode, Version};
use jasminetack_domain::ingress;
use jasminetack_domain::name;
use tokio::sync::watch;
use tokio::time::{self, Sleep};

use super::answer_watch::AnswerWatch;
use super::attempt::{self, Exchange};
use super::caller::{Caller, Destination, KEY_REVOKED};
use super::credit_guard::CreditGuard;
use super::load_guard::LoadGuard;
use super::permit_guard::PermitGuard;
use super::refusal::{RETRY_AFTER_MS, Refusal};
use super::relay::Relay;
use super::request_body;
use super::request_record::RequestRecord;
use super::response_body::ResponseBody;
use super::retry_decision::RetryDecision;
use super::sent_request::SentRequest;
use super::shared_state::SharedState;
use super::stream_relay::StreamRelay;
use super::team_charge::TeamCharge;
use super::worker_request;
use super::worker_search::Target;
use crate::clock;
use crate::dialect;

/// Timeout of requests without a deadline; the timeout of the route applies as well.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// Time past the deadline for a worker's own timeout response to arrive.
const DEADLINE_GRACE_MS: u64 = 120;
/// Longest `Retry-After` while no configuration has been read from the store.
const STARTUP_RETRY_AFTER_MS: u64 = 1_500;
/// A caller follows a `Retry-After` of up to a third of its timeout; a quarter leaves time for the
/// network.
const RETRY_AFTER_DIVISOR: u64 = 4;
/// Reason for refusing all requests until a configuration has been read.
const NO_CONFIGURATION: &str = "no configuration yet";
/// Multiple of the route's first-byte target after which an idempotent request is retried on another
/// worker.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 1.5;

/// A caller's request and the state of its attempts.
pub struct ProxyRequest<Dialect> {
    pub(super) shared: Arc<SharedState<Dialect>>,
    pub(super) head: Arc<request::Parts>,
    pub(super) body: Bytes,
    pub(super) facts: dialect::RequestMetadata,
    pub(super) route: Arc<ingress::Route>,
    pub(super) service: name::ServiceName,
    pub(super) caller: Caller,
    pub(super) received_ms: u64,
    pub(super) deadline_ms: u64,
    /// Workers that are not selected again for this request.
    pub(super) excluded: Vec<name::WorkerName>,
    /// Number of attempts that may have been executed by a worker.
    pub(super) possible_executions: u32,
    /// Whether a request reached a worker, so that every further attempt needs a retry from the budget.
    pub(super) has_reached_worker: bool,
    /// Whether the retry for the next attempt has already been taken from the budget.
    pub(super) is_retry_acquired: bool,
    pub(super) revision: watch::Receiver<u64>,
    /// Worker that was last asked to load the adapter, and when.
    pub(super) requested_load: Option<(name::WorkerName, u64)>,
    /// Permit for the selected worker if it has a limit.
    pub(super) permit: Option<PermitGuard>,
    /// Credit for a slot of the selected worker.
    pub(super) credit: Option<CreditGuard>,
}

/// Proxies a request to a worker, or responds with a refusal when it cannot be served.
pub async fn serve<Dialect>(
    shared: Arc<SharedState<Dialect>>,
    request: Request<Incoming>,
) -> Response<ResponseBody>
where
    Dialect: dialect::Dialect,
{
    let received_ms = clock::now_ms();
    let (head, body) = request.into_parts();
    let destination = Destination::find(&shared, &head);
    let caller = match Caller::authenticate(&shared, &head, &destination, received_ms) {
        Ok(caller) => caller,
        Err(refusal) => return refusal.into_response(),
    };
    let facts = match shared.dialect.decode_request(&head) {
        Ok(facts) => facts,
        Err(problem) => {
            spdlog::info!("refuse reason=bad-request problem={problem:?}");
            let refusal = match destination.ingress {
                Some(_) => Refusal::rejected(StatusCode::BAD_REQUEST, "bad request"),
                None => Refusal::not_executed(NO_CONFIGURATION, STARTUP_RETRY_AFTER_MS),
            };
            return refusal.into_response();
        }
    };
    let mut record = RequestRecord::new(&shared.metrics, facts.request_id.clone(), received_ms);
    let head = (head, facts);
    match ProxyRequest::admit(shared, destination, caller, head, body, &mut record, received_ms)
        .await
    {
        Ok(proxied) => proxied.run(record).await,
        Err(refusal) => refuse(refusal, record),
    }
}

/// Records a refusal and builds its response.
fn refuse(refusal: Refusal, mut record: RequestRecord) -> Response<ResponseBody> {
    record.record_response(refusal.status.as_u16());
    record.set_outcome(refusal.reason);
    refusal.into_response()
}

impl<Dialect> ProxyRequest<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Selects the service of a request and reads its body.
    async fn admit(
        shared: Arc<SharedState<Dialect>>,
        destination: Destination,
        mut caller: Caller,
        (head, facts): (request::Parts, dialect::RequestMetadata),
        body: Incoming,
        record: &mut RequestRecord,
        received_ms: u64,
    ) -> Result<Self, Refusal> {
        let ingress = destination.ingress.ok_or_else(|| {
            let timeout_ms = facts.deadline_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
            let retry_after_ms = (timeout_ms / RETRY_AFTER_DIVISOR).min(STARTUP_RETRY_AFTER_MS);
            Refusal::not_executed(NO_CONFIGURATION, retry_after_ms)
        })?;
        let route =
            destination.route.ok_or(Refusal::rejected(StatusCode::NOT_FOUND, "no such route"))?;
        record.set_route(&route, ingress.version());
        record.set_team(caller.access().team());
        record.set_adapter(facts.adapter.as_ref());
        record.set_prompt_segments(&facts.prompt_segments);
        let timeout_ms = facts.deadline_ms.unwrap_or(DEFAULT_TIMEOUT_MS).min(route.timeout_ms);
        let (team, size) = (caller.access().team(), facts.size);
        caller.charge = TeamCharge::take(&shared, team, size, timeout_ms).await?;
        let service = route.service(rand::random());
        let service = service.ok_or(Refusal::not_executed("no service", RETRY_AFTER_MS))?.clone();
        shared.count_request(&service, received_ms);
        if let Some(adapter) = &facts.adapter {
            shared.chooser.lock().popularity.record_request(adapter, received_ms);
        }
        let deadline_ms = received_ms + timeout_ms;
        record.set_timeout(timeout_ms);
        let body = request_body::read(body, ingress.limits(), timeout_ms).await?;
        let revision = shared.revision.clone();
        Ok(Self {
            shared,
            head: Arc::new(head),
            body,
            facts,
            route,
            service,
            caller,
            received_ms,
            deadline_ms,
            excluded: Vec::new(),
            possible_executions: 0,
            has_reached_worker: false,
            is_retry_acquired: false,
            revision,
            requested_load: None,
            permit: None,
            credit: None,
        })
    }

    /// Sends the request to workers until one responds or the request is given up.
    async fn run(mut self, mut record: RequestRecord) -> Response<ResponseBody> {
        loop {
            let target = match self.find_worker(&mut record).await {
                Ok(target) => target,
                Err(refusal) => return refuse(refusal, record),
            };
            match self.attempt(&target, &mut record, None).await {
                Ok((response, exchange)) => {
                    return self.forward_response(response, exchange, record);
                }
                Err(RetryDecision::Retry) => {}
                Err(RetryDecision::GiveUp(refusal)) => return refuse(refusal, record),
            }
        }
    }

    /// Sends the request to a worker; `last_event_id` resumes a stream after that event.
    pub(super) async fn attempt(
        &mut self,
        target: &Target,
        record: &mut RequestRecord,
        last_event_id: Option<&str>,
    ) -> Result<(Response<Incoming>, Exchange), RetryDecision> {
        let now_ms = clock::now_ms();
        let worker = &target.decision.worker;
        if !self.acquire_retry(now_ms) {
            record.record_attempt_failure(worker, "no-budget");
            return Err(RetryDecision::GiveUp(self.give_up("no budget for a repeat")));
        }
        if let Some(permit) = self.permit.take() {
            permit.consume();
        }
        record.record_attempt(&target.decision, target.prefix);
        self.caller.charge.record_sent();
        let request = self.worker_request(target, last_event_id, now_ms);
        let credit = self.start_slot_call(target, now_ms);
        let (adapter, work) = (self.facts.adapter.as_ref(), self.facts.size_or_default());
        let chooser = &self.shared.chooser;
        let control = &self.shared.control;
        let sent = SentRequest {
            worker,
            service: &self.service,
            adapter,
            size: work,
            unread_tokens: target.prefix.unread_tokens,
        };
        let mut load = LoadGuard::new(chooser, control, &sent, now_ms);
        load.credit = credit;
        if work.is_generation() {
            let held_tokens = target.prefix.held_tokens;
            self.shared.metrics.record_prompt(work.prompt_tokens, held_tokens);
            let parts = &self.facts.prompt_segments;
            chooser.lock().prompt_cache.record(worker, adapter, parts, now_ms);
        }
        let (pool, upstream) = (&self.shared.pool, &target.upstream);
        let answer =
            AnswerWatch::new(&self.shared.crash_watch, upstream, &self.facts.prompt_segments);
        let timeout_ms = self.attempt_timeout_ms(now_ms);
        let sent = tokio::select! {
            sent = attempt::send(pool, upstream, request, load, answer, timeout_ms) => sent,
            () = self.caller.revocation.revoked() => {
                record.record_attempt_failure(worker, KEY_REVOKED);
                return Err(RetryDecision::GiveUp(self.end_revoked()));
            }
        };
        let (response, mut exchange) = match sent {
            Ok(response) => response,
            Err(error) => return Err(self.attempt_failed(worker, error, record)),
        };
        self.has_reached_worker = true;
        let (head, body) = response.into_parts();
        let facts = self.shared.dialect.decode_response(&head, &self.facts.request_id);
        record.set_limit(facts.limit_per_s);
        if let Some(problem) = attempt::response_problem(facts, &head, &exchange.connection) {
            exchange.load.record_failure(clock::now_ms());
            return Err(self.execution_unknown(worker, problem, record));
        }
        self.observe_worker(upstream, facts, head.status, now_ms);
        if facts.is_not_executed {
            exchange.load.record_rejection(head.status);
            // The broker knows now that the worker is full and assigns it again once a slot is free.
            let is_full = head.status == StatusCode::SERVICE_UNAVAILABLE;
            if target.is_assigned && is_full {
                // A second copy of this rejection on the same connection would bear the ID of the request's
                // next sending to the worker.
                drop(exchange.connection);
            } else {
                self.excluded.push(worker.clone());
                if body.is_end_stream() {
                    self.shared.pool.put(worker, exchange.connection, clock::now_ms());
                }
            }
            return Err(self.not_executed(worker, facts, &head, record));
        }
        self.possible_executions += 1;
        if !head.status.is_success() {
            exchange.answer.stop();
        }
        let is_failure = head.status.is_server_error();
        if is_failure {
            exchange.load.record_failure(clock::now_ms());
        }
        // An error response is discarded only if a retry is allowed and within the budget.
        if is_failure && self.may_execute_again() && self.acquire_retry(clock::now_ms()) {
            self.is_retry_acquired = true;
            record.record_attempt_failure(worker, "worker-error");
            self.excluded.push(worker.clone());
            return Err(RetryDecision::Retry);
        }
        Ok((Response::from_parts(head, body), exchange))
    }

    /// Returns whether the next attempt may be sent: no worker has been reached yet, or a retry was
    /// taken from the budget.
    fn acquire_retry(&mut self, now_ms: u64) -> bool {
        !self.has_reached_worker
            || std::mem::take(&mut self.is_retry_acquired)
            || self.shared.try_acquire_retry(&self.service, now_ms)
    }

    /// Returns the timeout for the head of a response.
    ///
    /// Non-idempotent requests and last attempts may use all of the remaining time.
    fn attempt_timeout_ms(&self, now_ms: u64) -> u64 {
        let remaining_ms = (self.deadline_ms + DEADLINE_GRACE_MS).saturating_sub(now_ms);
        let has_other_attempt = self.possible_executions + 1 < self.route.max_attempts;
        if !self.route.kind.is_idempotent() || !has_other_attempt {
            return remaining_ms;
        }
        remaining_ms.min((self.route.first_byte_target_ms as f64 * ATTEMPT_TIMEOUT_FACTOR) as u64)
    }

    /// Returns whether the request may be executed another time: it is idempotent, and neither its
    /// attempts nor its deadline are exhausted.
    pub(super) fn may_execute_again(&self) -> bool {
        self.route.kind.is_idempotent()
            && self.possible_executions < self.route.max_attempts
            && clock::now_ms() < self.deadline_ms
    }

    /// Builds the caller's response, which streams the body of the worker's response.
    fn forward_response(
        mut self,
        response: Response<Incoming>,
        exchange: Exchange,
        mut record: RequestRecord,
    ) -> Response<ResponseBody> {
        let (mut head, incoming) = response.into_parts();
        worker_request::remove_connection_headers(&mut head.headers);
        // The caller's connection has a framing of its own: one that ends with the connection would hide
        // that a response was broken off.
        head.version = Version::HTTP_11;
        record.record_response(head.status.as_u16());
        let deadline = self.deadline_timer();
        let kind = self.route.kind;
        let has_events = kind.is_stream() && head.status.is_success();
        let body = if has_events && kind.is_idempotent() {
            head.headers.remove(header::CONTENT_LENGTH);
            ResponseBody::events(StreamRelay::start(self, incoming, exchange, record, deadline))
        } else {
            let pool = Arc::clone(&self.shared.pool);
            let revocation = self.take_revocation();
            let relay =
                Relay::new(exchange, incoming, record, deadline, revocation, pool, has_events);
            ResponseBody::relay(relay)
        };
        Response::from_parts(head, body)
    }

    /// Returns a timer for the deadline and its grace time.
    fn deadline_timer(&self) -> Pin<Box<Sleep>> {
        let remaining_ms = (self.deadline_ms + DEADLINE_GRACE_MS).saturating_sub(clock::now_ms());
        Box::pin(time::sleep(Duration::from_millis(remaining_ms)))
    }

    /// Excludes a worker that interrupted a stream, and returns whether the stream may be resumed
    /// elsewhere.
    pub(super) fn exclude_interrupted(&mut self, worker: &name::WorkerName) -> bool {
        self.excluded.push(worker.clone());
        self.may_execute_again()
    }

    /// Returns the connection pool.
    pub(super) fn pool(&self) -> &Arc<super::pool::Pool> {
        &self.shared.pool
    }

    /// Returns whether a response to a resumed stream continues it.
    pub(super) fn is_continuation(&self, response: &Response<Incoming>) -> bool {
        response.status().is_success()
    }
}
