//! Handling of one model request at the entry host, from admission to the first token.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use jasminetack_domain::adapter;
use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_domain::route;
use jasminetack_domain::table;
use jasminetack_wire::engine;
use tokio::time;

use super::admission::AdmittedRequest;
use super::body::Body;
use super::caller_error::CallerError;
use super::local_owner::LocalOwner;
use super::model_attempt::{ModelAttempt, StartedResponse};
use super::model_context::ModelContext;
use super::model_relay::ModelRelay;
use super::model_request::ModelRequest;
use super::response_event::Refusal;
use crate::metrics;
use crate::snapshot;

/// Pause before the workers that refused a request are tried again. A longer pause would add to the
/// recovery time after the loss of an owner.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of rounds over all workers. The pauses add up to 4 s, in which a lost owner is
/// replaced.
const MAX_ROUNDS: u32 = 40;

/// One model request at the entry host.
pub struct ModelCall<RoutePolicy, Local> {
    context: Arc<ModelContext<RoutePolicy, Local>>,
    admitted: AdmittedRequest,
    adapter: adapter::AdapterRef,
    base_model: name::BaseModelName,
    request: ModelRequest,
    attempts: request::Request,
    excluded: Vec<name::WorkerName>,
}

impl<RoutePolicy, Local> ModelCall<RoutePolicy, Local>
where
    RoutePolicy: route::Policy + Send + Sync + 'static,
    Local: LocalOwner + Send + Sync + 'static,
{
    /// Parses a request and fixes its adapter version.
    ///
    /// # Errors
    ///
    /// Fails when the body is malformed, or the adapter is unknown or belongs to another team.
    pub fn new(
        context: Arc<ModelContext<RoutePolicy, Local>>,
        table: &table::Table,
        admitted: AdmittedRequest,
        path: String,
        body: Bytes,
    ) -> Result<Self, CallerError> {
        let completion: engine::Completion = serde_json::from_slice(&body).map_err(|error| {
            CallerError::not_run(StatusCode::BAD_REQUEST, "bad_json", error.to_string())
        })?;
        let (adapter, row) = table.resolve(&completion.model).map_err(|error| {
            CallerError::not_run(StatusCode::NOT_FOUND, "unknown_adapter", error.to_string())
        })?;
        if row.team != admitted.team {
            let message = format!("adapter {} belongs to another team", adapter.name());
            return Err(CallerError::not_run(StatusCode::FORBIDDEN, "not_your_adapter", message));
        }
        let team_limits = table.team(&admitted.team).map(|row| row.limits.clone());
        let team_limits = team_limits.unwrap_or_default();
        let request = ModelRequest {
            request_id: admitted.request_id.clone(),
            // Each attempt sets the worker and the remaining time.
            worker: name::WorkerName::from(""),
            adapter: adapter.clone(),
            team: admitted.team.clone(),
            weight: team_limits.weight,
            share: team_limits.share,
            class: admitted.class.limited_to(row.limits.class),
            remaining_ms: 0,
            path,
            body,
        };
        Ok(Self {
            attempts: request::Request::new(admitted.deadline_ms),
            base_model: row.base_model.clone(),
            context,
            admitted,
            adapter,
            request,
            excluded: Vec::new(),
        })
    }

    /// Returns the adapter version that must serve the request.
    pub fn adapter(&self) -> &adapter::AdapterRef {
        &self.adapter
    }

    /// Serves the request and returns the response, whose body is relayed in the background.
    ///
    /// # Errors
    ///
    /// Fails when no worker responds before the deadline.
    pub async fn run(mut self) -> Result<Response<Body>, CallerError> {
        self.context.attempt_budgets.lock().count_request();
        let remaining = self.admitted.remaining(self.context.clock.now_ms());
        let Ok(result) = time::timeout(remaining, self.first_response()).await else {
            let message = "no token arrived before the deadline";
            let status = StatusCode::GATEWAY_TIMEOUT;
            // The deadline passed during an attempt or during the pause before the next one.
            self.attempts.attempt_abandoned();
            return Err(self.with_request_outcome(CallerError::unknown(
                status,
                "deadline_passed",
                message,
            )));
        };
        let response =
            result.map_err(|refusal| self.with_request_outcome(CallerError::from(refusal)))?;
        let class = self.request.class;
        self.context.attempt_budgets.lock().hedge_delay.record(class, response.first_token_ms);
        let first_token_s = response.first_token_ms as f64 / 1_000.0;
        let histogram = &self.context.metrics.first_token;
        histogram.get_or_create(&metrics::class_label(class)).observe(first_token_s);
        let relay = ModelRelay { context: self.context, admitted: self.admitted, class, response };
        relay.start(&self.adapter)
    }

    /// Sends the request to one worker after another until a token arrives.
    async fn first_response(&mut self) -> Result<StartedResponse<RoutePolicy>, Refusal> {
        let mut round = 1;
        let mut last_refusal: Option<Refusal> = None;
        loop {
            let snapshot = self.context.snapshot.load_full();
            let Some(worker) = self.route(&snapshot) else {
                let has_worker =
                    snapshot.fleet.iter().any(|view| view.base_model == self.base_model);
                let last = last_refusal.as_ref();
                let is_busy = last.is_some_and(|refusal| refusal.retry_after_ms.is_some());
                if !has_worker || is_busy || round >= MAX_ROUNDS {
                    return Err(last_refusal.unwrap_or_else(|| self.no_worker()));
                }
                time::sleep(ROUND_PAUSE).await;
                self.excluded.clear();
                round += 1;
                continue;
            };
            let refusal = match self.send_with_hedge(&snapshot, worker.clone()).await {
                Ok(response) => return Ok(response),
                Err(refusal) => refusal,
            };
            let decision = self.attempts.attempt_failed(
                refusal.outcome,
                self.context.clock.now_ms(),
                &mut self.context.attempt_budgets.lock().retries,
            );
            let is_final = is_final_status(refusal.status);
            let detail = format!(
                "worker={worker} code={} outcome={} retry={}",
                refusal.code,
                refusal.outcome.as_str(),
                decision == request::RetryDecision::Retry && !is_final,
            );
            self.context.note(&self.admitted.request_id, "attempt-failed", &detail);
            if is_final || decision == request::RetryDecision::Fail {
                return Err(refusal);
            }
            self.context.metrics.retries.inc();
            self.excluded.push(worker);
            last_refusal = Some(refusal);
        }
    }

    /// Sends the request to a worker, and to a second one when no token arrives within the hedge
    /// delay.
    async fn send_with_hedge(
        &mut self,
        snapshot: &snapshot::Snapshot,
        worker: name::WorkerName,
    ) -> Result<StartedResponse<RoutePolicy>, Refusal> {
        let first = self.send(snapshot, worker.clone())?.wait_for_first_token();
        let mut first = std::pin::pin!(first);
        let delay_ms = self.context.attempt_budgets.lock().hedge_delay.delay_ms(self.request.class);
        if let Some(delay_ms) = delay_ms {
            let delay = Duration::from_millis(delay_ms);
            if let Ok(result) = time::timeout(delay, first.as_mut()).await {
                return result;
            }
        }
        let Some(second) = delay_ms.and_then(|_| self.start_hedge(snapshot, &worker)) else {
            return first.await;
        };
        let mut second = std::pin::pin!(second.wait_for_first_token());
        // The attempt that is not returned is dropped, which cancels it.
        let (result, other) = tokio::select! {
            result = first.as_mut() => (result, second),
            result = second.as_mut() => (result, first),
        };
        let Err(refusal) = result else { return result };
        if refusal.outcome == request::Outcome::Unknown {
            self.attempts.attempt_abandoned();
        }
        other.await
    }

    fn start_hedge(
        &mut self,
        snapshot: &snapshot::Snapshot,
        worker: &name::WorkerName,
    ) -> Option<ModelAttempt<RoutePolicy>> {
        if !self.context.attempt_budgets.lock().hedges.try_withdraw() {
            return None;
        }
        self.excluded.push(worker.clone());
        let second = self.route(snapshot);
        self.excluded.pop();
        let second = second?;
        self.excluded.push(second.clone());
        let detail =
            format!("worker={worker} second={second} reason=\"no token within the hedge delay\"");
        self.context.note(&self.admitted.request_id, "hedge", &detail);
        self.context.metrics.hedges.inc();
        self.send(snapshot, second).ok()
    }

    fn send(
        &self,
        snapshot: &snapshot::Snapshot,
        worker: name::WorkerName,
    ) -> Result<ModelAttempt<RoutePolicy>, Refusal> {
        let ModelContext { clock, owners, router, .. } = &*self.context;
        let remaining_ms = self.admitted.deadline_ms.saturating_sub(clock.now_ms());
        let request = ModelRequest { worker: worker.clone(), remaining_ms, ..self.request.clone() };
        let events = owners.start(snapshot, request)?;
        let (base_model, router) = (self.base_model.clone(), Arc::clone(router));
        Ok(ModelAttempt::new(worker, base_model, events, router, *clock))
    }

    fn route(&self, snapshot: &snapshot::Snapshot) -> Option<name::WorkerName> {
        let now_ms = self.context.clock.now_ms();
        let request = route::RouteRequest {
            adapter: &self.adapter,
            base_model: &self.base_model,
            from: &self.context.settings.locality,
            excluded: &self.excluded,
        };
        let decision = self.context.router.choose(&request, &snapshot.fleet, now_ms)?;
        let mut considered = String::new();
        for (worker, cost_ms) in &decision.considered {
            considered.push_str(&format!(" {worker}:{cost_ms}"));
        }
        let detail = format!(
            "adapter={} worker={} cost_ms={} considered={:?} reason={:?}",
            self.adapter,
            decision.worker,
            decision.cost_ms,
            considered.trim_start(),
            decision.reason,
        );
        self.context.note(&self.admitted.request_id, "route", &detail);
        Some(decision.worker)
    }

    fn no_worker(&self) -> Refusal {
        let message = format!("no worker serves base model {}", self.base_model);
        Refusal::not_run(503, "no_worker", message)
    }

    /// Sets the outcome to unknown when an attempt before the last one may have run.
    fn with_request_outcome(&self, mut error: CallerError) -> CallerError {
        if self.attempts.outcome() == request::Outcome::Unknown {
            error.outcome = request::Outcome::Unknown;
        }
        error
    }
}

/// Returns whether another worker would refuse the request for the same reason.
fn is_final_status(status: u16) -> bool {
    (400..500).contains(&status) && status != 429
}
