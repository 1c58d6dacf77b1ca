//! Prometheus metrics of the daemon. Adapter names are not used as labels, which bounds the number
//! of series.

use std::sync::atomic::AtomicU64;

use jasminetack_domain::request;
use parking_lot::Mutex;
use prometheus_client::encoding;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Metric, Registry, Unit};

/// Label set with a single label.
pub type Label = [(&'static str, &'static str); 1];
/// Label set of finished requests: class and result.
pub type ClassAndResult = [(&'static str, &'static str); 2];
/// Label set of platform calls: call and result.
pub type CallAndResult = [(&'static str, &'static str); 2];

type HistogramByClass = Family<Label, Histogram, fn() -> Histogram>;

/// Upper bound of the first histogram bucket; each further bound doubles, up to about 65 s.
const FIRST_BUCKET_S: f64 = 0.001;
const BUCKET_COUNT: u16 = 17;

/// Metrics of the daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Caller requests by class and result.
    pub requests: Family<ClassAndResult, Counter>,
    /// Caller requests being served.
    pub in_flight: Gauge,
    /// Time from the arrival of a request to its first response token, by class.
    pub first_token: HistogramByClass,
    /// Time between two tokens of a response, by class.
    pub between_tokens: HistogramByClass,
    /// Requests in the queues of owned workers.
    pub queue_length: Gauge,
    /// Time that requests spend in the queue of a worker, by class.
    pub queue_wait: HistogramByClass,
    /// Time that requests wait for the load of their adapter.
    pub load_stall: Histogram,
    /// Adapter loads by result.
    pub adapter_loads: Family<Label, Counter>,
    /// Duration of an adapter load.
    pub adapter_load_time: Histogram,
    /// Adapters evicted from engines.
    pub evictions: Counter,
    /// Attempts at another worker after a failure.
    pub retries: Counter,
    /// Hedged attempts: requests sent to a second worker because the first was slow.
    pub hedges: Counter,
    /// Claims of idempotency keys for at-most-once calls, by result.
    pub claims: Family<Label, Counter>,
    /// Calls to the platform by call and result.
    pub platform_calls: Family<CallAndResult, Counter>,
    /// Bytes of control messages exchanged with peers and the platform, by direction.
    pub control_bytes: Family<Label, Counter>,
    /// Bytes of forwarded requests and responses that cross regions, by direction.
    pub cross_region_bytes: Family<Label, Counter>,
    /// Version of the table in use.
    pub table_version: Gauge,
    /// Time since the table was last confirmed to be current.
    pub table_age: Gauge<f64, AtomicU64>,
    /// Workers that this daemon owns.
    pub owned_workers: Gauge,
    /// 1 if the daemon accepts requests, otherwise 0.
    pub ready: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("jasminetack");
        let (seconds, bytes) = (Some(Unit::Seconds), Some(Unit::Bytes));
        let mut register = Registrar(&mut registry);
        Self {
            requests: register.metric("requests", "Caller requests by class and result", None),
            in_flight: register.metric("requests_in_flight", "Caller requests being served", None),
            first_token: register
                .histogram_by_class("first_token", "Arrival to first token by class"),
            between_tokens: register
                .histogram_by_class("between_tokens", "Time between tokens by class"),
            queue_length: register.metric("queue_length", "Requests queued at owned workers", None),
            queue_wait: register
                .histogram_by_class("queue_wait", "Time in a worker's queue by class"),
            load_stall: register
                .histogram("load_stall", "Time that requests waited for an adapter load"),
            adapter_loads: register.metric("adapter_loads", "Adapter loads by result", None),
            adapter_load_time: register.histogram("adapter_load", "Time of one adapter load"),
            evictions: register.metric("evictions", "Adapters evicted from engines", None),
            retries: register.metric("retries", "Requests sent to another worker", None),
            hedges: register.metric("hedges", "Requests sent to a second worker", None),
            claims: register.metric(
                "claims",
                "Claims of calls that run at most once by result",
                None,
            ),
            platform_calls: register.metric("platform_calls", "Platform calls by result", None),
            control_bytes: register.metric("control", "Control bytes by direction", bytes.clone()),
            cross_region_bytes: register.metric("cross_region", "Bytes between regions", bytes),
            table_version: register.metric("table_version", "Head version of the table", None),
            table_age: register.metric("table_age", "Time since the last confirmation", seconds),
            owned_workers: register.metric("owned_workers", "Workers owned by this daemon", None),
            ready: register.metric("ready", "1 when the daemon accepts requests", None),
            registry: Mutex::new(registry),
        }
    }

    /// Counts a finished caller request.
    pub fn record_request(&self, class: request::Class, result: &'static str) {
        self.requests.get_or_create(&[("class", class.as_str()), ("result", result)]).inc();
    }

    /// Counts a finished platform call.
    pub fn record_platform_call(&self, call: &'static str, succeeded: bool) {
        let result = if succeeded { "ok" } else { "failed" };
        self.platform_calls.get_or_create(&[("call", call), ("result", result)]).inc();
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encoding::text::encode(&mut text, &self.registry.lock());
        text
    }
}

/// Returns the label of a priority class.
pub fn class_label(class: request::Class) -> Label {
    [("class", class.as_str())]
}

/// Returns the label of a result.
pub fn result_label(result: &'static str) -> Label {
    [("result", result)]
}

/// Returns the label of a direction: `sent` or `received`.
pub fn direction_label(direction: &'static str) -> Label {
    [("direction", direction)]
}

struct Registrar<'a>(&'a mut Registry);

impl Registrar<'_> {
    fn metric<Kind>(&mut self, name: &str, help: &str, unit: Option<Unit>) -> Kind
    where
        Kind: Metric + Default + Clone,
    {
        self.add(name, help, unit, Kind::default())
    }

    fn histogram_by_class(&mut self, name: &str, help: &str) -> HistogramByClass {
        let family = HistogramByClass::new_with_constructor(new_histogram);
        self.add(name, help, Some(Unit::Seconds), family)
    }

    fn histogram(&mut self, name: &str, help: &str) -> Histogram {
        self.add(name, help, Some(Unit::Seconds), new_histogram())
    }

    fn add<Kind>(&mut self, name: &str, help: &str, unit: Option<Unit>, metric: Kind) -> Kind
    where
        Kind: Metric + Clone,
    {
        match unit {
            Some(unit) => self.0.register_with_unit(name, help, unit, metric.clone()),
            None => self.0.register(name, help, metric.clone()),
        }
        metric
    }
}

fn new_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT))
}
