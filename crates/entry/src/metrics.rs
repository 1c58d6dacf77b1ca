//! Metrics of the daemon; labels are bounded, so no series names an adapter.

use parking_lot::Mutex;
use prometheus_client::encoding;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Labels of finished requests: a class and a result.
pub type ClassAndResult = [(&'static str, &'static str); 2];

/// Metrics of the daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Caller requests by class and result.
    pub requests: Family<ClassAndResult, Counter>,
}

impl Metrics {
    /// Registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("jasminetack");
        let requests = Family::default();
        registry.register("requests", "Caller requests by class and result", requests.clone());
        Self { registry: Mutex::new(registry), requests }
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encoding::text::encode(&mut text, &self.registry.lock());
        text
    }
}
