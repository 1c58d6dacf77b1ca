//! What is logged and counted of one request.

use std::sync::Arc;

use jasminetack_domain::ingress;
use jasminetack_domain::name;
use jasminetack_domain::route;

use crate::clock;
use crate::metrics;

/// Workers that were not chosen and are named in the log.
const MAX_LISTED: usize = 2;

/// Record of one request; dropping it writes its last line.
#[derive(Debug)]
pub struct CallRecord {
    metrics: Arc<metrics::Metrics>,
    request_id: name::RequestId,
    route: Option<Arc<ingress::Route>>,
    configuration: u64,
    received_ms: u64,
    sent: u32,
    waited_load_ms: u64,
    worker: Option<name::WorkerName>,
    adapter: Option<name::AdapterName>,
    /// Worker that was asked to load the adapter.
    asked: Option<name::WorkerName>,
    /// Predicted time at the chosen worker, and the next best ones.
    choice: String,
    first_ms: Option<u64>,
    status: u16,
    outcome: &'static str,
}

impl CallRecord {
    /// Begins the record of a request.
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
            received_ms,
            sent: 0,
            waited_load_ms: 0,
            worker: None,
            adapter: None,
            asked: None,
            choice: String::new(),
            first_ms: None,
            status: 0,
            outcome: "caller-left",
        }
    }

    /// Notes the route and the version of the configuration that chose it.
    pub fn routed(&mut self, route: &Arc<ingress::Route>, configuration: u64) {
        self.route = Some(Arc::clone(route));
        self.configuration = configuration;
    }

    /// Notes the adapter that must answer.
    pub fn needs(&mut self, adapter: Option<&name::AdapterName>) {
        self.adapter = adapter.cloned();
    }

    /// Notes the worker that is asked to load the adapter.
    pub fn asked(&mut self, worker: &name::WorkerName) {
        self.asked = Some(worker.clone());
    }

    /// Notes for how long the request has waited for an adapter.
    pub fn waited(&mut self, waited_ms: u64) {
        self.waited_load_ms = waited_ms;
    }

    /// Notes that the request is sent to a worker; a choice that is not the first is logged.
    pub fn sent(&mut self, decision: &route::Decision) {
        self.sent += 1;
        self.worker = Some(decision.worker.clone());
        self.choice = describe(decision);
        if self.sent > 1 {
            let (id, worker, attempt) = (&self.request_id, &decision.worker, self.sent);
            let (choice, reason) = (&self.choice, decision.reason);
            spdlog::info!(
                "repeat request={id} attempt={attempt} worker={worker} predicted_ms={choice} reason={reason:?}"
            );
        }
    }

    /// Notes that an attempt did not succeed.
    pub fn attempt_failed(&self, worker: &name::WorkerName, result: &str) {
        let age_ms = clock::now_ms().saturating_sub(self.received_ms);
        let (id, attempt) = (&self.request_id, self.sent);
        spdlog::info!(
            "attempt-failed request={id} attempt={attempt} worker={worker} result={result} age_ms={age_ms}"
        );
        self.metrics.record_attempt_failure(result);
    }

    /// Notes the status of the answer.
    pub fn answered(&mut self, status: u16) {
        self.status = status;
        self.first_ms = Some(clock::now_ms().saturating_sub(self.received_ms));
    }

    /// Notes how the request ended.
    pub fn ended(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        let total_ms = clock::now_ms().saturating_sub(self.received_ms);
        self.metrics.in_flight.dec();
        let kind = self.route.as_ref().map_or("none", |route| route.kind.as_str());
        self.metrics.record_request(kind, self.outcome, self.first_ms, total_ms);
        let (id, outcome, status, sent) = (&self.request_id, self.outcome, self.status, self.sent);
        let route = self.route.as_ref().map_or("none", |route| route.name.as_str());
        let worker = self.worker.as_ref().map_or("none", name::WorkerName::as_str);
        let (version, waited) = (self.configuration, self.waited_load_ms);
        let first_ms = self.first_ms.unwrap_or(0);
        let adapter = self.adapter.as_ref().map_or("none", name::AdapterName::as_str);
        let asked = self.asked.as_ref().map_or("none", name::WorkerName::as_str);
        let choice = if self.choice.is_empty() { "none" } else { &self.choice };
        spdlog::info!(
            "request request={id} outcome={outcome:?} status={status} route={route} kind={kind} adapter={adapter} worker={worker} predicted_ms={choice} attempts={sent} asked={asked} load_wait_ms={waited} first_ms={first_ms} total_ms={total_ms} configuration={version}"
        );
    }
}

/// Lists the predicted times at the chosen worker and at the next best ones.
fn describe(decision: &route::Decision) -> String {
    let mut others: Vec<_> = decision.considered.iter().collect();
    others.sort_by_key(|(_, cost_ms)| *cost_ms);
    let mut text = decision.cost_ms.to_string();
    for (worker, cost_ms) in others.into_iter().take(MAX_LISTED) {
        text.push_str(&format!(",{worker}:{cost_ms}"));
    }
    text
}
