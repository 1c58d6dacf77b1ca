//! Metrics of the daemon; labels are bounded, so no series names an adapter.

use std::sync::atomic::AtomicU64;

use jasminetack_domain::request;
use parking_lot::Mutex;
use prometheus_client::encoding;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Metric, Registry, Unit};

/// One label.
pub type Label = [(&'static str, &'static str); 1];
/// Labels of finished requests: a class and a result.
pub type ClassAndResult = [(&'static str, &'static str); 2];
/// Labels of platform calls: a call and a result.
pub type CallAndResult = [(&'static str, &'static str); 2];

type Times = Family<Label, Histogram, fn() -> Histogram>;

/// Shortest time that has a bucket of its own; buckets double from here up to about 65 s.
const SHORTEST_BUCKET_S: f64 = 0.001;
const BUCKET_COUNT: u16 = 17;

/// Metrics of the daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Caller requests by class and result.
    pub requests: Family<ClassAndResult, Counter>,
    /// Caller requests that are being served.
    pub in_flight: Gauge,
    /// Time from the arrival of a request to its first token, by class.
    pub first_token: Times,
    /// Time between two tokens of an answer, by class.
    pub between_tokens: Times,
    /// Requests that wait in the queues of owned workers.
    pub queue_length: Gauge,
    /// Time in the queue of a worker, by class.
    pub queue_wait: Times,
    /// Time that requests waited for the load of their adapter.
    pub load_stall: Histogram,
    /// Adapter loads by result.
    pub adapter_loads: Family<Label, Counter>,
    /// Time of one adapter load.
    pub adapter_load_time: Histogram,
    /// Adapters evicted from engines.
    pub evictions: Counter,
    /// Requests sent to another worker after a failure.
    pub retries: Counter,
    /// Requests sent to a second worker because the first was slow.
    pub hedges: Counter,
    /// Claims of calls that may run at most once, by result.
    pub claims: Family<Label, Counter>,
    /// Calls to the platform by call and result.
    pub platform_calls: Family<CallAndResult, Counter>,
    /// Control bytes exchanged with peers and the platform, by direction.
    pub control_bytes: Family<Label, Counter>,
    /// Bytes of forwarded requests and answers that crossed regions, by direction.
    pub cross_region_bytes: Family<Label, Counter>,
    /// Head version of the table in force.
    pub table_version: Gauge,
    /// Time since the table was last confirmed.
    pub table_age: Gauge<f64, AtomicU64>,
    /// Workers that this daemon owns.
    pub owned_workers: Gauge,
    /// 1 when the daemon accepts requests.
    pub ready: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("jasminetack");
        let (seconds, bytes) = (Some(Unit::Seconds), Some(Unit::Bytes));
        let mut add = Registration(&mut registry);
        Self {
            requests: add.metric("requests", "Caller requests by class and result", None),
            in_flight: add.metric("requests_in_flight", "Caller requests being served", None),
            first_token: add.times("first_token", "Arrival to first token by class"),
            between_tokens: add.times("between_tokens", "Time between tokens by class"),
            queue_length: add.metric("queue_length", "Requests queued at owned workers", None),
            queue_wait: add.times("queue_wait", "Time in a worker's queue by class"),
            load_stall: add.time("load_stall", "Time that requests waited for an adapter load"),
            adapter_loads: add.metric("adapter_loads", "Adapter loads by result", None),
            adapter_load_time: add.time("adapter_load", "Time of one adapter load"),
            evictions: add.metric("evictions", "Adapters evicted from engines", None),
            retries: add.metric("retries", "Requests sent to another worker", None),
            hedges: add.metric("hedges", "Requests sent to a second worker", None),
            claims: add.metric("claims", "Claims of calls that run at most once by result", None),
            platform_calls: add.metric("platform_calls", "Platform calls by result", None),
            control_bytes: add.metric("control", "Control bytes by direction", bytes.clone()),
            cross_region_bytes: add.metric("cross_region", "Bytes between regions", bytes),
            table_version: add.metric("table_version", "Head version of the table", None),
            table_age: add.metric("table_age", "Time since the last confirmation", seconds),
            owned_workers: add.metric("owned_workers", "Workers owned by this daemon", None),
            ready: add.metric("ready", "1 when the daemon accepts requests", None),
            registry: Mutex::new(registry),
        }
    }

    /// Records the end of a caller's request.
    pub fn finish_request(&self, class: request::Class, result: &'static str) {
        self.requests.get_or_create(&[("class", class.as_str()), ("result", result)]).inc();
    }

    /// Records the end of a call to the platform.
    pub fn finish_platform_call(&self, call: &'static str, succeeded: bool) {
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

/// Label that names a class.
pub fn class(class: request::Class) -> Label {
    [("class", class.as_str())]
}

/// Label that names a result.
pub fn result(result: &'static str) -> Label {
    [("result", result)]
}

/// Label that names a direction: `sent` or `received`.
pub fn direction(direction: &'static str) -> Label {
    [("direction", direction)]
}

struct Registration<'a>(&'a mut Registry);

impl Registration<'_> {
    fn metric<Kind>(&mut self, name: &str, help: &str, unit: Option<Unit>) -> Kind
    where
        Kind: Metric + Default + Clone,
    {
        self.add(name, help, unit, Kind::default())
    }

    fn times(&mut self, name: &str, help: &str) -> Times {
        let times = Times::new_with_constructor(histogram);
        self.add(name, help, Some(Unit::Seconds), times)
    }

    fn time(&mut self, name: &str, help: &str) -> Histogram {
        self.add(name, help, Some(Unit::Seconds), histogram())
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

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(SHORTEST_BUCKET_S, 2.0, BUCKET_COUNT))
}
