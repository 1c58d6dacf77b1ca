//! Log line and metrics of one request.

use std::sync::Arc;

use jasminetack_domain::dispatch;
use jasminetack_domain::ingress;
use jasminetack_domain::name;
use jasminetack_domain::route;
use jasminetack_domain::team;

use super::forwarded_parts::ForwardedParts;
use crate::clock;
use crate::metrics;

/// Next best workers that are logged with their predicted times.
const MAX_LOGGED_ALTERNATIVES: usize = 2;

/// Data for the log line and metrics of one request, which are written on drop.
#[derive(Debug)]
pub struct RequestRecord {
    metrics: Arc<metrics::Metrics>,
    request_id: name::RequestId,
    route: Option<Arc<ingress::Route>>,
    configuration: u64,
    team: Option<Arc<team::Team>>,
    received_ms: u64,
    timeout_ms: u64,
    attempts: u32,
    load_wait_ms: u64,
    worker: Option<name::WorkerName>,
    adapter: Option<name::AdapterName>,
    prompt_segments: Arc<[dispatch::PromptSegment]>,
    /// Worker that was last asked to load the adapter.
    loading_worker: Option<name::WorkerName>,
    /// Predicted time at the selected worker, and those of the next best ones.
    predictions: String,
    first_byte_ms: Option<u64>,
    /// Limit that the worker stated in its last response.
    limit_per_s: Option<f64>,
    parts: ForwardedParts,
    status: u16,
    outcome: &'static str,
}

impl RequestRecord {
    /// Creates the record of a request and counts the request as in flight.
    pub fn new(
        metrics: &Arc<metrics::Metrics>,
        request_id: name::RequestId,
        received_ms: u64,
    ) -> Self {
        metrics.in_flight.inc();
        Self {
            metrics: Arc::clone(metrics),
            request_id,
            route: None,
            configuration: 0,
            team: None,
            received_ms,
            timeout_ms: 0,
            attempts: 0,
            load_wait_ms: 0,
            worker: None,
            adapter: None,
            prompt_segments: Arc::default(),
            loading_worker: None,
            predictions: String::new(),
            first_byte_ms: None,
            limit_per_s: None,
            parts: ForwardedParts::default(),
            status: 0,
            outcome: "caller-left",
        }
    }

    /// Sets the route and the version of the configuration that it comes from.
    pub fn set_route(&mut self, route: &Arc<ingress::Route>, configuration: u64) {
        self.route = Some(Arc::clone(route));
        self.configuration = configuration;
    }

    /// Sets the team that the request belongs to.
    pub fn set_team(&mut self, team: Option<&Arc<team::Team>>) {
        self.team = team.cloned();
    }

    /// Sets the time from the receipt of the request to its deadline.
    pub fn set_timeout(&mut self, timeout_ms: u64) {
        self.timeout_ms = timeout_ms;
    }

    /// Records a part of the response that is forwarded to the caller.
    pub fn record_part(&mut self, now_ms: u64) {
        self.parts.record(now_ms.saturating_sub(self.received_ms));
    }

    /// Sets the adapter that the request needs.
    pub fn set_adapter(&mut self, adapter: Option<&name::AdapterName>) {
        self.adapter = adapter.cloned();
    }

    /// Sets the segments of the prompt.
    pub fn set_prompt_segments(&mut self, segments: &Arc<[dispatch::PromptSegment]>) {
        self.prompt_segments = Arc::clone(segments);
    }

    /// Sets the worker that is asked to load the adapter.
    pub fn set_loading_worker(&mut self, worker: &name::WorkerName) {
        self.loading_worker = Some(worker.clone());
    }

    /// Sets how long the request waited for its adapter to be loaded or for a permit.
    pub fn set_load_wait(&mut self, wait_ms: u64) {
        self.load_wait_ms = wait_ms;
    }

    /// Records an attempt at the selected worker; every attempt after the first is logged.
    pub fn record_attempt(&mut self, decision: &route::Decision) {
        self.attempts += 1;
        self.limit_per_s = None;
        self.worker = Some(decision.worker.clone());
        self.predictions = format_predictions(decision);
        if self.attempts > 1 {
            let (id, worker, attempt) = (&self.request_id, &decision.worker, self.attempts);
            let (predictions, reason) = (&self.predictions, decision.reason);
            spdlog::info!(
                "repeat request={id} attempt={attempt} worker={worker} predicted_ms={predictions} reason={reason:?}"
            );
        }
    }

    /// Logs and counts a failed attempt.
    pub fn record_attempt_failure(&self, worker: &name::WorkerName, result: &str) {
        let age_ms = clock::now_ms().saturating_sub(self.received_ms);
        let (id, attempt) = (&self.request_id, self.attempts);
        let segments = format_shared_segments(&self.prompt_segments);
        let limit_per_s = format_limit(self.limit_per_s);
        spdlog::info!(
            "attempt-failed request={id} attempt={attempt} worker={worker} result={result} age_ms={age_ms} limit_per_s={limit_per_s} segments={segments}"
        );
        self.metrics.record_attempt_failure(result);
    }

    /// Sets the limit that the worker stated in its response.
    pub fn set_limit(&mut self, limit_per_s: Option<f64>) {
        self.limit_per_s = limit_per_s;
    }

    /// Records the status of the response and the time to its head.
    pub fn record_response(&mut self, status: u16) {
        self.status = status;
        self.first_byte_ms = Some(clock::now_ms().saturating_sub(self.received_ms));
    }

    /// Sets the outcome; a request without one counts as `caller-left`.
    pub fn set_outcome(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        let total_ms = clock::now_ms().saturating_sub(self.received_ms);
        self.metrics.in_flight.dec();
        let kind = self.route.as_ref().map_or("none", |route| route.kind.as_str());
        self.metrics.record_request(kind, self.outcome, self.first_byte_ms, total_ms);
        let (id, outcome, status, attempts) =
            (&self.request_id, self.outcome, self.status, self.attempts);
        let route = self.route.as_ref().map_or("none", |route| route.name.as_str());
        let team = self.team.as_ref().map_or("none", |team| team.name.as_str());
        let worker = self.worker.as_ref().map_or("none", name::WorkerName::as_str);
        let (version, load_wait_ms) = (self.configuration, self.load_wait_ms);
        let first_ms = self.first_byte_ms.unwrap_or(0);
        let adapter = self.adapter.as_ref().map_or("none", name::AdapterName::as_str);
        let asked = self.loading_worker.as_ref().map_or("none", name::WorkerName::as_str);
        let ForwardedParts { count: parts, longest_gap_ms, longest_gap_at_ms, .. } = self.parts;
        let timeout_ms = self.timeout_ms;
        let limit_per_s = format_limit(self.limit_per_s);
        let predictions = if self.predictions.is_empty() { "none" } else { &self.predictions };
        spdlog::info!(
            "request request={id} outcome={outcome:?} status={status} route={route} team={team} kind={kind} adapter={adapter} worker={worker} predicted_ms={predictions} attempts={attempts} asked={asked} load_wait_ms={load_wait_ms} first_ms={first_ms} parts={parts} longest_gap_ms={longest_gap_ms} longest_gap_at_ms={longest_gap_at_ms} total_ms={total_ms} limit_per_s={limit_per_s} timeout_ms={timeout_ms} configuration={version}"
        );
    }
}

/// Formats the limit that a worker states; `none` without one.
fn format_limit(limit_per_s: Option<f64>) -> String {
    limit_per_s.map_or_else(|| "none".to_owned(), |limit_per_s| limit_per_s.to_string())
}

/// Formats the segments of a prompt that other requests may share; `none` without any.
fn format_shared_segments(segments: &[dispatch::PromptSegment]) -> String {
    let shared = dispatch::PromptSegment::shared(segments).iter();
    let ids: Vec<_> = shared.map(|segment| segment.id.to_string()).collect();
    if ids.is_empty() { "none".to_owned() } else { ids.join(",") }
}

/// Formats the predicted times at the selected worker and at the next best ones.
fn format_predictions(decision: &route::Decision) -> String {
    let mut others: Vec<_> = decision.considered.iter().collect();
    others.sort_by_key(|(_, cost_ms)| *cost_ms);
    let mut text = decision.cost_ms.to_string();
    for (worker, cost_ms) in others.into_iter().take(MAX_LOGGED_ALTERNATIVES) {
        text.push_str(&format!(",{worker}:{cost_ms}"));
    }
    text
}
