//! One request of a caller.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header;
use hyper::http::{request, response};
use hyper::{Request, Response, StatusCode};
use jasminetack_domain::adapter;
use jasminetack_domain::dispatch;
use jasminetack_domain::ingress;
use jasminetack_domain::name;
use jasminetack_domain::route;
use tokio::sync::watch;
use tokio::time::{self, Sleep};

use super::answer_body::AnswerBody;
use super::attempt::{self, AttemptError, Exchange};
use super::call_record::CallRecord;
use super::load_guard::LoadGuard;
use super::refusal::Refusal;
use super::relay::Relay;
use super::shared::Traffic;
use super::stream_relay::StreamRelay;
use crate::clock;
use crate::control;
use crate::dialect;
use crate::view;

/// Deadline of requests that name none, on routes without a timeout.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// Time past the deadline in which a worker's own answer about it may still arrive.
const DEADLINE_SLACK_MS: u64 = 120;
/// Part of the deadline that may pass while an adapter is loaded; the rest is for the generation.
const LOAD_WAIT_PART: f64 = 0.6;
/// Longest wait for an adapter.
const MAX_LOAD_WAIT_MS: u64 = 2_500;
/// Age from which the adapters of a worker must be confirmed; daemons of the same region report at
/// least every second.
const STALE_MS: u64 = 1_500;
/// Pause after which a demand for an adapter is repeated; datagrams may be lost.
const DEMAND_INTERVAL_MS: u64 = 250;
/// Longest sleep between two looks at the fleet while a request waits.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// When a caller should come back after a refusal.
const RETRY_AFTER_MS: u64 = 250;
/// When a caller should come back while the store that has the configuration is away.
const START_MS: u64 = 1_500;
/// Callers wait for at most a third of their time; a quarter leaves time for the way.
const RETRY_PART: u64 = 4;
/// Factor of the route's goal after which an idempotent request is tried elsewhere.
const PATIENCE: f64 = 1.5;
/// Rank that workers assume for requests without one; the least urgent routes stay above it.
const MAX_PRIORITY: u8 = 9;

/// One request of a caller.
pub struct Call<Dialect> {
    traffic: Arc<Traffic<Dialect>>,
    head: Arc<request::Parts>,
    body: Bytes,
    facts: dialect::RequestFacts,
    route: Arc<ingress::Route>,
    service: name::ServiceName,
    received_ms: u64,
    deadline_ms: u64,
    excluded: Vec<name::WorkerName>,
    /// Times that the request may have run.
    possible_runs: u32,
    /// Whether a repeat must be paid for from the budget.
    has_arrived: bool,
    /// Whether the next repeat is paid for.
    is_prepaid: bool,
    revision: watch::Receiver<u64>,
    demanded: Option<(name::WorkerName, u64)>,
}

/// A worker that was chosen.
pub(super) struct Target {
    upstream: Arc<jasminetack_domain::upstream::Upstream>,
    decision: route::Decision,
    state: dispatch::AdapterState,
}

/// What to do after an attempt that has no answer to pass on.
pub(super) enum Next {
    TryAgain,
    GiveUp(Refusal),
}

impl Next {
    /// Returns why there is no further attempt, as an error.
    pub(super) fn reason(self) -> Result<(), &'static str> {
        match self {
            Self::TryAgain => Ok(()),
            Self::GiveUp(refusal) => Err(refusal.reason),
        }
    }
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
    let facts = match traffic.dialect.request(&head) {
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
        facts: dialect::RequestFacts,
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
            traffic.chooser.lock().popularity.count(adapter, received_ms);
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

    /// Waits until a worker can take the request.
    pub(super) async fn find_worker(&mut self, record: &mut CallRecord) -> Result<Target, Refusal> {
        let began_ms = clock::now_ms();
        let wait_ms = (self.deadline_ms.saturating_sub(self.received_ms)) as f64 * LOAD_WAIT_PART;
        let until_ms = began_ms + (wait_ms as u64).min(MAX_LOAD_WAIT_MS);
        loop {
            let now_ms = clock::now_ms();
            if now_ms >= self.deadline_ms {
                return Err(self.give_up("deadline"));
            }
            self.revision.borrow_and_update();
            if let Some(target) = self.choose(now_ms) {
                if target.state == dispatch::AdapterState::Resident {
                    record.waited(now_ms.saturating_sub(began_ms));
                    return Ok(target);
                }
                record.asked(&target.decision.worker);
                self.demand(&target.decision.worker, false, now_ms);
            } else if !self.excluded.is_empty() {
                return Err(self.give_up("no other worker"));
            }
            if now_ms >= until_ms {
                record.waited(now_ms.saturating_sub(began_ms));
                return Err(self.give_up("no worker with the adapter"));
            }
            // Whichever comes first; the next round looks at the fleet again.
            let _ = time::timeout(LOOK_INTERVAL, self.revision.changed()).await;
        }
    }

    fn choose(&self, now_ms: u64) -> Option<Target> {
        let view = self.traffic.view.load();
        let workers = view.workers(&self.service);
        let mut candidates = Vec::with_capacity(workers.len());
        for worker in workers {
            let Some(adapter) = self.adapter_state(worker, &view, now_ms) else { continue };
            candidates.push(dispatch::Candidate { upstream: &worker.upstream, adapter });
        }
        let choice = dispatch::Choice {
            from: &self.traffic.host.place,
            adapter: self.facts.adapter.as_ref(),
            parts: &self.facts.parts,
            work: self.facts.work,
            demanded: self.demanded.as_ref().map(|(worker, _)| worker),
            excluded: &self.excluded,
        };
        let decision = self.traffic.chooser.lock().choose(&choice, &candidates, now_ms)?;
        let chosen = candidates.iter().position(|known| known.upstream.name == decision.worker)?;
        let state = candidates[chosen].adapter;
        let upstream = workers.iter().find(|worker| worker.upstream.name == decision.worker)?;
        Some(Target { upstream: Arc::clone(&upstream.upstream), decision, state })
    }

    /// Returns whether a worker can answer, or `None` when it never will.
    fn adapter_state(
        &self,
        worker: &view::WorkerView,
        view: &view::View,
        now_ms: u64,
    ) -> Option<dispatch::AdapterState> {
        let Some(adapter) = &self.facts.adapter else {
            let needs_model = self.facts.base_model.is_some();
            return (!needs_model || worker.has_base_model)
                .then_some(dispatch::AdapterState::Resident);
        };
        if !worker.has_base_model {
            return None;
        }
        let held = worker.adapters.get(adapter);
        let required = self.required_version(view);
        if let Some(held) = held
            && held.version >= required
        {
            return Some(match held.is_loading {
                true => dispatch::AdapterState::Loading,
                false if is_stale(worker, now_ms) => dispatch::AdapterState::Unconfirmed,
                false => dispatch::AdapterState::Resident,
            });
        }
        let waiting_loads = worker.waiting_loads;
        worker.has_holder.then_some(dispatch::AdapterState::Absent { waiting_loads })
    }

    /// Returns the oldest adapter version that may answer; 0 for any.
    ///
    /// A new version is required as soon as it is known: a request may wait in a worker's queue for
    /// longer than the older version may be used.
    fn required_version(&self, view: &view::View) -> u32 {
        let named = self.facts.adapter.as_ref().and_then(|adapter| view.versions.get(adapter));
        named.copied().unwrap_or(0)
    }

    fn demand(&mut self, worker: &name::WorkerName, is_missing: bool, now_ms: u64) {
        let Some(adapter) = &self.facts.adapter else { return };
        if !is_missing
            && let Some((demanded, at_ms)) = &self.demanded
            && demanded == worker
            && now_ms.saturating_sub(*at_ms) < DEMAND_INTERVAL_MS
        {
            return;
        }
        let is_new = self.demanded.as_ref().is_none_or(|(demanded, _)| demanded != worker);
        self.demanded = Some((worker.clone(), now_ms));
        let view = self.traffic.view.load();
        let version = self.required_version(&view);
        let adapter = adapter::AdapterRef::new(adapter.clone(), version);
        let worker = worker.clone();
        let demand = control::Message::Demand { worker, adapter, is_missing, is_new };
        // The control thread ends only with the process.
        let _ = self.traffic.control.send(demand);
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
        let (adapter, work) = (self.facts.adapter.as_ref(), self.facts.work);
        let chooser = &self.traffic.chooser;
        let load = LoadGuard::new(chooser, worker, &self.service, adapter, work, now_ms);
        if work.is_generation() {
            let parts = &self.facts.parts;
            chooser.lock().prompts.record(worker, adapter, parts, now_ms);
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
        let facts = self.traffic.dialect.answer(&head, &self.facts.request_id);
        if !attempt::belongs(facts, &head) {
            exchange.load.failed(clock::now_ms());
            return Err(self.unknown(worker, "answer-of-another-request", record));
        }
        if facts.is_not_run {
            return Err(self.not_run(worker, facts, &head, record));
        }
        self.possible_runs += 1;
        let is_failure = head.status.is_server_error();
        // An answer is dropped only when another one can be asked for.
        if is_failure && self.may_run_again() && self.pay_repeat(clock::now_ms()) {
            self.is_prepaid = true;
            exchange.load.failed(clock::now_ms());
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
        left_ms.min((self.route.goal_ms as f64 * PATIENCE) as u64)
    }

    fn may_run_again(&self) -> bool {
        self.route.kind.is_idempotent()
            && self.possible_runs < self.route.max_attempts
            && clock::now_ms() < self.deadline_ms
    }

    fn attempt_failed(
        &mut self,
        worker: &name::WorkerName,
        error: AttemptError,
        record: &CallRecord,
    ) -> Next {
        match error {
            AttemptError::NotSent(reason) => {
                record.attempt_failed(worker, reason);
                self.excluded.push(worker.clone());
                Next::TryAgain
            }
            AttemptError::Unknown(reason) => {
                self.has_arrived = true;
                self.unknown(worker, reason, record)
            }
            AttemptError::TimedOut => {
                self.has_arrived = true;
                self.unknown(worker, "no-answer-in-time", record)
            }
        }
    }

    /// The request may have run: it is repeated only when that does no harm.
    fn unknown(
        &mut self,
        worker: &name::WorkerName,
        reason: &'static str,
        record: &CallRecord,
    ) -> Next {
        record.attempt_failed(worker, reason);
        self.possible_runs += 1;
        self.excluded.push(worker.clone());
        if self.may_run_again() {
            return Next::TryAgain;
        }
        Next::GiveUp(self.give_up(reason))
    }

    /// The worker states that it did not run the request.
    fn not_run(
        &mut self,
        worker: &name::WorkerName,
        facts: dialect::AnswerFacts,
        head: &response::Parts,
        record: &CallRecord,
    ) -> Next {
        let result = if facts.is_misdirected { "misdirected" } else { "worker-refused" };
        record.attempt_failed(worker, result);
        if head.status == StatusCode::BAD_REQUEST {
            let refusal = Refusal::rejected(StatusCode::BAD_REQUEST, "refused by the worker");
            return Next::GiveUp(refusal);
        }
        if facts.is_misdirected {
            self.demand(worker, true, clock::now_ms());
        }
        self.excluded.push(worker.clone());
        Next::TryAgain
    }

    fn give_up(&self, reason: &'static str) -> Refusal {
        if self.possible_runs == 0 {
            return Refusal::not_run(reason, RETRY_AFTER_MS);
        }
        if clock::now_ms() >= self.deadline_ms {
            return Refusal::timed_out(reason);
        }
        Refusal::unknown(reason)
    }

    fn worker_request(
        &self,
        target: &Target,
        last_event_id: Option<&str>,
        now_ms: u64,
    ) -> Request<Full<Bytes>> {
        let mut headers = self.head.headers.clone();
        remove_connection_headers(&mut headers);
        // hyper sets it from the body, which may have come in chunks.
        headers.remove(header::CONTENT_LENGTH);
        let view = self.traffic.view.load();
        let version = self.required_version(&view);
        let left_ms = self.deadline_ms.saturating_sub(now_ms);
        let facts = dialect::DispatchFacts {
            worker: &target.decision.worker,
            deadline_ms: self.facts.deadline_ms.map(|_| left_ms),
            priority: self
                .facts
                .work
                .is_generation()
                .then(|| self.route.priority.min(MAX_PRIORITY)),
            adapter_version: (version > 0).then_some(version),
            last_event_id,
        };
        self.traffic.dialect.dispatch(&mut headers, &facts);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    fn pass_on(
        self,
        response: Response<Incoming>,
        exchange: Exchange,
        mut record: CallRecord,
    ) -> Response<AnswerBody> {
        let (mut head, incoming) = response.into_parts();
        remove_connection_headers(&mut head.headers);
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

/// Returns whether what is known of a worker's adapters is so old that its holder must confirm it.
fn is_stale(worker: &view::WorkerView, now_ms: u64) -> bool {
    let told_ms = worker.told_ms.filter(|_| worker.has_holder);
    told_ms.is_some_and(|told_ms| now_ms.saturating_sub(told_ms) > STALE_MS)
}

/// Removes the headers that concern one connection.
fn remove_connection_headers(headers: &mut hyper::HeaderMap) {
    let named: Vec<_> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse::<header::HeaderName>().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        header::CONNECTION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::PROXY_AUTHORIZATION,
        header::PROXY_AUTHENTICATE,
        header::EXPECT,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
