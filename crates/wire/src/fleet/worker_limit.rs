//! Limit of a worker.

use jasminetack_domain::name;
use jasminetack_domain::request_limit;
use prost::Message;

/// What the sender knows of the requests that a worker accepts from all daemons together.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerLimit {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Start of the worker process in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub started_unix_ms: u64,
    /// Requests per second that the worker has stated last; `None` if it never stated a limit.
    #[prost(double, optional, tag = "3")]
    pub limit_per_s: Option<f64>,
    /// Store time at which it did.
    #[prost(uint64, tag = "4")]
    pub observed_store_ms: u64,
    /// Store time at which the latest request was sent whose response stated no limit.
    #[prost(uint64, tag = "5")]
    pub unlimited_store_ms: u64,
}

impl WorkerLimit {
    /// Encodes the record of a worker.
    #[must_use]
    pub fn new(worker: &name::WorkerName, record: &request_limit::LimitRecord) -> Self {
        let request_limit::LimitRecord { started_unix_ms, stated, unlimited_store_ms } = *record;
        Self {
            worker: worker.to_string(),
            started_unix_ms,
            limit_per_s: stated.map(|stated| stated.limit_per_s),
            observed_store_ms: stated.map_or(0, |stated| stated.observed_store_ms),
            unlimited_store_ms,
        }
    }
}

impl From<&WorkerLimit> for request_limit::LimitRecord {
    fn from(limit: &WorkerLimit) -> Self {
        let valid = |limit_per_s: &f64| limit_per_s.is_finite() && *limit_per_s >= 0.0;
        let stated = limit.limit_per_s.filter(valid).map(|limit_per_s| {
            request_limit::StatedLimit { limit_per_s, observed_store_ms: limit.observed_store_ms }
        });
        let WorkerLimit { started_unix_ms, unlimited_store_ms, .. } = *limit;
        Self { started_unix_ms, stated, unlimited_store_ms }
    }
}
