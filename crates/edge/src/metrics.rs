//! Metrics of the daemon.
//!
//! Label values come from fixed sets; adapters, requests and hosts are never labels.

use jasminetack_domain::slot_credit;
use parking_lot::Mutex;
use prometheus_client::encoding;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use crate::team_metrics;

type Label = [(&'static str, String); 1];
type KindAndOutcome = [(&'static str, String); 2];
type StoreCall = [(&'static str, String); 3];
type DurationHistograms = Family<Label, Histogram, fn() -> Histogram>;

/// Upper bound of the first bucket; each bound is twice the previous one, up to about 65 s.
const FIRST_BUCKET_S: f64 = 0.001;
const BUCKET_COUNT: u16 = 17;

/// Metrics registry and the metrics that the daemon updates.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Requests in flight.
    pub in_flight: Gauge,
    requests: Family<KindAndOutcome, Counter>,
    first_part: DurationHistograms,
    total: DurationHistograms,
    failed_attempts: Family<Label, Counter>,
    orders: Family<Label, Counter>,
    worker_reports: Family<Label, Counter>,
    store_calls: Family<StoreCall, Counter>,
    prompt_tokens: Family<Label, Counter>,
    /// Crashes of workers that this daemon noticed.
    pub worker_crashes: Counter,
    /// Segments whose requests are refused.
    pub quarantined_segments: Gauge,
    /// Workers that state a limit of requests.
    pub limited_workers: Gauge,
    /// Teams of the configuration.
    pub teams: Gauge,
    /// Keys of all teams.
    pub team_keys: Gauge,
    key_refusals: Family<Label, Counter>,
    slot_decisions: Family<Label, Counter>,
    slot_calls: Family<Label, Counter>,
    /// Requests that wait for a slot at this daemon as their broker.
    pub waiting_slot_requests: Gauge,
    /// Quotas of teams.
    pub teams_quota: team_metrics::TeamMetrics,
}

impl Metrics {
    /// Creates and registers the metrics.
    #[must_use]
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("jasminetack");
        let in_flight = Gauge::default();
        let requests = Family::default();
        let first_part: DurationHistograms = Family::new_with_constructor(duration_histogram);
        let total: DurationHistograms = Family::new_with_constructor(duration_histogram);
        let failed_attempts = Family::default();
        let orders = Family::default();
        let worker_reports = Family::default();
        let store_calls = Family::default();
        registry.register("in_flight", "Requests being served", in_flight.clone());
        registry.register("requests", "Requests by kind and outcome", requests.clone());
        let help = "Time to the head of the answer";
        registry.register_with_unit("first_part", help, Unit::Seconds, first_part.clone());
        let help = "Time to the end of the answer";
        registry.register_with_unit("total", help, Unit::Seconds, total.clone());
        let help = "Attempts at workers without a usable answer";
        registry.register("failed_attempts", help, failed_attempts.clone());
        registry.register("orders", "Orders to workers by result", orders.clone());
        let help = "Reports requested from workers, by result";
        registry.register("worker_reports", help, worker_reports.clone());
        let help = "Calls to the metadata store by kind, table and result";
        registry.register("store_calls", help, store_calls.clone());
        let prompt_tokens = Family::default();
        let help = "Prompt tokens sent to workers, by whether the worker is expected to hold them";
        registry.register("prompt_tokens", help, prompt_tokens.clone());
        let worker_crashes = Counter::default();
        let help = "Crashes of workers that broke off answers to this daemon";
        registry.register("worker_crashes", help, worker_crashes.clone());
        let quarantined_segments = Gauge::default();
        let help = "Segments of prompts whose requests are refused";
        registry.register("quarantined_segments", help, quarantined_segments.clone());
        let limited_workers = Gauge::default();
        let help = "Workers that accept a limited number of requests";
        registry.register("limited_workers", help, limited_workers.clone());
        let (teams, team_keys) = (Gauge::default(), Gauge::default());
        registry.register("teams", "Teams of the configuration", teams.clone());
        registry.register("team_keys", "Keys of all teams", team_keys.clone());
        let key_refusals = Family::default();
        let help = "Requests refused because of their key, by reason";
        registry.register("key_refusals", help, key_refusals.clone());
        let slot_decisions = Family::default();
        let help = "Decisions of this daemon as a broker of slots";
        registry.register("slot_decisions", help, slot_decisions.clone());
        let slot_calls = Family::default();
        let help = "Calls to services with few slots by how their worker was found";
        registry.register("slot_calls", help, slot_calls.clone());
        let waiting_slot_requests = Gauge::default();
        let help = "Requests that wait for a slot at this daemon as their broker";
        registry.register("waiting_slot_requests", help, waiting_slot_requests.clone());
        let teams_quota = team_metrics::TeamMetrics::new(&mut registry);
        let registry = Mutex::new(registry);
        Self {
            registry,
            in_flight,
            requests,
            first_part,
            total,
            failed_attempts,
            orders,
            worker_reports,
            store_calls,
            prompt_tokens,
            worker_crashes,
            quarantined_segments,
            limited_workers,
            teams,
            team_keys,
            key_refusals,
            slot_decisions,
            slot_calls,
            waiting_slot_requests,
            teams_quota,
        }
    }

    /// Records a finished request; `first_ms` is `None` when no response head was received.
    pub fn record_request(&self, kind: &str, outcome: &str, first_ms: Option<u64>, total_ms: u64) {
        let labels = [("kind", kind.to_owned()), ("outcome", outcome.to_owned())];
        self.requests.get_or_create(&labels).inc();
        let label = [("kind", kind.to_owned())];
        if let Some(first_ms) = first_ms {
            self.first_part.get_or_create(&label).observe(first_ms as f64 / 1_000.0);
        }
        self.total.get_or_create(&label).observe(total_ms as f64 / 1_000.0);
    }

    /// Records an attempt without a usable response.
    pub fn record_attempt_failure(&self, result: &str) {
        self.failed_attempts.get_or_create(&[("result", result.to_owned())]).inc();
    }

    /// Records a prompt that is sent to a worker, which is expected to hold some of its tokens.
    pub fn record_prompt(&self, prompt_tokens: u32, held_tokens: u32) {
        let unread_tokens = prompt_tokens.saturating_sub(held_tokens);
        for (state, tokens) in [("held", held_tokens), ("unread", unread_tokens)] {
            self.prompt_tokens
                .get_or_create(&[("state", state.to_owned())])
                .inc_by(u64::from(tokens));
        }
    }

    /// Records a request that was refused because of its key.
    pub fn record_key_refusal(&self, reason: &str) {
        self.key_refusals.get_or_create(&[("reason", reason.to_owned())]).inc();
    }

    /// Records the result of an order.
    pub fn record_order(&self, result: &str) {
        self.orders.get_or_create(&[("result", result.to_owned())]).inc();
    }

    /// Records the result of requesting a report from a worker.
    pub fn record_worker_report(&self, result: &str) {
        self.worker_reports.get_or_create(&[("result", result.to_owned())]).inc();
    }

    /// Records a call to the metadata store.
    pub fn record_store_call(&self, call: &str, table: &str, result: &str) {
        let labels = [("call", call), ("table", table), ("result", result)];
        let labels = labels.map(|(name, value)| (name, value.to_owned()));
        self.store_calls.get_or_create(&labels).inc();
    }

    /// Records decisions of this daemon as a broker of slots.
    pub fn record_slot_decisions(&self, counts: slot_credit::BrokerCounts) {
        let slot_credit::BrokerCounts { granted, queued, refused, expired } = counts;
        let counts =
            [("granted", granted), ("queued", queued), ("no-slot", refused), ("expired", expired)];
        for (decision, count) in counts {
            if count > 0 {
                let label = [("decision", decision.to_owned())];
                self.slot_decisions.get_or_create(&label).inc_by(count);
            }
        }
    }

    /// Records how the worker of a call to a service with few slots was found.
    pub fn record_slot_call(&self, choice: &str) {
        self.slot_calls.get_or_create(&[("choice", choice.to_owned())]).inc();
    }

    /// Encodes all metrics in the OpenMetrics text format.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = String::new();
        if encoding::text::encode(&mut text, &self.registry.lock()).is_err() {
            spdlog::error!("metrics-failed reason=formatter");
        }
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT))
}
