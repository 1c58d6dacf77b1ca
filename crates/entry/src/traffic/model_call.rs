//! Entry side of one model request, from admission to its first token.

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

use super::admission::Admitted;
use super::answer_event::Refusal;
use super::body::Body;
use super::caller_error::CallerError;
use super::model_attempt::{ModelAttempt, StartedAnswer};
use super::model_order::ModelOrder;
use super::model_relay::ModelRelay;
use super::models::Models;
use super::start_order::StartOrder;
use crate::metrics;
use crate::snapshot;

/// Pause before workers that refused a request are asked again. A longer one would add to the time
/// in which a lost owner is replaced.
const PAUSE: Duration = Duration::from_millis(100);
/// Rounds over all workers. Their pauses add up to 4 s, in which a lost owner is replaced.
const MAX_ROUNDS: u32 = 40;

/// One model request.
pub struct ModelCall<RoutePolicy, Local> {
    models: Arc<Models<RoutePolicy, Local>>,
    admitted: Admitted,
    adapter: adapter::AdapterRef,
    base_model: name::BaseModelName,
    order: ModelOrder,
    request: request::Request,
    excluded: Vec<name::WorkerName>,
}

impl<RoutePolicy, Local> ModelCall<RoutePolicy, Local>
where
    RoutePolicy: route::Policy + Send + Sync + 'static,
    Local: StartOrder + Send + Sync + 'static,
{
    /// Reads a request; its adapter version does not change any more.
    ///
    /// # Errors
    ///
    /// Fails when the request is malformed, names no adapter or one of another team.
    pub fn new(
        models: Arc<Models<RoutePolicy, Local>>,
        table: &table::Table,
        admitted: Admitted,
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
        let order = ModelOrder {
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
            request: request::Request::new(admitted.deadline_ms),
            base_model: row.base_model.clone(),
            models,
            admitted,
            adapter,
            order,
            excluded: Vec::new(),
        })
    }

    /// Returns the adapter version that must answer.
    pub fn adapter(&self) -> &adapter::AdapterRef {
        &self.adapter
    }

    /// Serves the request.
    ///
    /// # Errors
    ///
    /// Fails when no worker answers before the deadline.
    pub async fn run(mut self) -> Result<Response<Body>, CallerError> {
        self.models.extra.lock().count_request();
        let remaining = self.admitted.remaining(self.models.clock.now_ms());
        let Ok(result) = time::timeout(remaining, self.first_answer()).await else {
            let message = "no token arrived before the deadline";
            let status = StatusCode::GATEWAY_TIMEOUT;
            // An attempt was running, or the pause before the next one.
            self.request.attempt_abandoned();
            return Err(self.report(CallerError::unknown(status, "deadline_passed", message)));
        };
        let answer = result.map_err(|refusal| self.report(CallerError::from(refusal)))?;
        let class = self.order.class;
        self.models.extra.lock().hedge_delay.record(class, answer.first_token_ms);
        let first_token_s = answer.first_token_ms as f64 / 1_000.0;
        let times = &self.models.metrics.first_token;
        times.get_or_create(&metrics::class_label(class)).observe(first_token_s);
        let relay = ModelRelay { models: self.models, admitted: self.admitted, class, answer };
        relay.start(&self.adapter)
    }

    /// Sends the request to one worker after the other until a token arrives.
    async fn first_answer(&mut self) -> Result<StartedAnswer<RoutePolicy>, Refusal> {
        let mut round = 1;
        let mut last: Option<Refusal> = None;
        loop {
            let snapshot = self.models.snapshot.load_full();
            let Some(worker) = self.route(&snapshot) else {
                let is_known = snapshot.fleet.iter().any(|view| view.base_model == self.base_model);
                let is_busy = last.as_ref().is_some_and(|last| last.retry_after_ms.is_some());
                if !is_known || is_busy || round >= MAX_ROUNDS {
                    return Err(last.unwrap_or_else(|| self.no_worker()));
                }
                time::sleep(PAUSE).await;
                self.excluded.clear();
                round += 1;
                continue;
            };
            let refusal = match self.hedged(&snapshot, worker.clone()).await {
                Ok(answer) => return Ok(answer),
                Err(refusal) => refusal,
            };
            let next = self.request.attempt_failed(
                refusal.outcome,
                self.models.clock.now_ms(),
                &mut self.models.extra.lock().retries,
            );
            let is_final = is_final(refusal.status);
            let detail = format!(
                "worker={worker} code={} outcome={} retry={}",
                refusal.code,
                refusal.outcome.as_str(),
                next == request::RetryDecision::Retry && !is_final,
            );
            self.models.note(&self.admitted.request_id, "attempt-failed", &detail);
            if is_final || next == request::RetryDecision::Fail {
                return Err(refusal);
            }
            self.models.metrics.retries.inc();
            self.excluded.push(worker);
            last = Some(refusal);
        }
    }

    /// Sends the request to a worker, and to a second one when no token arrives in the usual time.
    async fn hedged(
        &mut self,
        snapshot: &snapshot::Snapshot,
        worker: name::WorkerName,
    ) -> Result<StartedAnswer<RoutePolicy>, Refusal> {
        let first = self.send(snapshot, worker.clone())?.start();
        let mut first = std::pin::pin!(first);
        let delay_ms = self.models.extra.lock().hedge_delay.delay_ms(self.order.class);
        if let Some(delay_ms) = delay_ms {
            let delay = Duration::from_millis(delay_ms);
            if let Ok(result) = time::timeout(delay, first.as_mut()).await {
                return result;
            }
        }
        let Some(second) = delay_ms.and_then(|_| self.hedge(snapshot, &worker)) else {
            return first.await;
        };
        let mut second = std::pin::pin!(second.start());
        // The attempt that is not returned is dropped, which cancels it.
        let (result, other) = tokio::select! {
            result = first.as_mut() => (result, second),
            result = second.as_mut() => (result, first),
        };
        let Err(refusal) = result else { return result };
        if refusal.outcome == request::Outcome::Unknown {
            self.request.attempt_abandoned();
        }
        other.await
    }

    fn hedge(
        &mut self,
        snapshot: &snapshot::Snapshot,
        worker: &name::WorkerName,
    ) -> Option<ModelAttempt<RoutePolicy>> {
        if !self.models.extra.lock().hedges.try_withdraw() {
            return None;
        }
        self.excluded.push(worker.clone());
        let second = self.route(snapshot);
        self.excluded.pop();
        let second = second?;
        self.excluded.push(second.clone());
        let detail = format!("worker={worker} second={second} reason=\"no token in usual time\"");
        self.models.note(&self.admitted.request_id, "hedge", &detail);
        self.models.metrics.hedges.inc();
        self.send(snapshot, second).ok()
    }

    fn send(
        &self,
        snapshot: &snapshot::Snapshot,
        worker: name::WorkerName,
    ) -> Result<ModelAttempt<RoutePolicy>, Refusal> {
        let Models { clock, owners, router, .. } = &*self.models;
        let remaining_ms = self.admitted.deadline_ms.saturating_sub(clock.now_ms());
        let order = ModelOrder { worker: worker.clone(), remaining_ms, ..self.order.clone() };
        let events = owners.start(snapshot, order)?;
        let (base_model, router) = (self.base_model.clone(), Arc::clone(router));
        Ok(ModelAttempt::new(worker, base_model, events, router, *clock))
    }

    fn route(&self, snapshot: &snapshot::Snapshot) -> Option<name::WorkerName> {
        let now_ms = self.models.clock.now_ms();
        let request = route::RouteRequest {
            adapter: &self.adapter,
            base_model: &self.base_model,
            from: &self.models.settings.locality,
            excluded: &self.excluded,
        };
        let decision = self.models.router.choose(&request, &snapshot.fleet, now_ms)?;
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
        self.models.note(&self.admitted.request_id, "route", &detail);
        Some(decision.worker)
    }

    fn no_worker(&self) -> Refusal {
        let message = format!("no worker serves base model {}", self.base_model);
        Refusal::not_run(503, "no_worker", message)
    }

    /// A failure of the last attempt says nothing of the attempts before it.
    fn report(&self, mut error: CallerError) -> CallerError {
        if self.request.outcome() == request::Outcome::Unknown {
            error.outcome = request::Outcome::Unknown;
        }
        error
    }
}

/// Tells whether another worker would refuse the request for the same reason.
fn is_final(status: u16) -> bool {
    (400..500).contains(&status) && status != 429
}
