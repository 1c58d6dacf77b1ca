//! What is logged and counted of one request.

use std::sync::Arc;

use jasminetack_domain::ingress;
use jasminetack_domain::name;
use jasminetack_domain::route;

use crate::clock;
use crate::metrics;

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

    /// Notes for how long the request has waited for an adapter.
    pub fn waited(&mut self, waited_ms: u64) {
        self.waited_load_ms = waited_ms;
    }

    /// Notes that the request is sent to a worker; a choice that is not the first is logged.
    pub fn sent(&mut self, decision: &route::Decision) {
        self.sent += 1;
        self.worker = Some(decision.worker.clone());
        if self.sent > 1 {
            let (id, worker, cost_ms) = (&self.request_id, &decision.worker, decision.cost_ms);
            let (attempt, reason) = (self.sent, decision.reason);
            spdlog::info!(
                "repeat request={id} attempt={attempt} worker={worker} cost_ms={cost_ms} reason=\"{reason}\""
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
        self.metrics.count_attempt_failure(result);
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
        self.metrics.finish(kind, self.outcome, self.first_ms, total_ms);
        let (id, outcome, status, sent) = (&self.request_id, self.outcome, self.status, self.sent);
        let route = self.route.as_ref().map_or("none", |route| route.name.as_str());
        let worker = self.worker.as_ref().map_or("none", name::WorkerName::as_str);
        let (version, waited) = (self.configuration, self.waited_load_ms);
        let first_ms = self.first_ms.unwrap_or(0);
        spdlog::info!(
            "request request={id} outcome={outcome} status={status} route={route} kind={kind} worker={worker} attempts={sent} load_wait_ms={waited} first_ms={first_ms} total_ms={total_ms} configuration={version}"
        );
    }
}
