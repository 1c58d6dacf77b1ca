//! What a response states about the limit of its worker.

use crate::name;

/// What the head of a worker's response states about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation<'a> {
    /// The worker.
    pub worker: &'a name::WorkerName,
    /// Start of the worker process in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Requests per second that the worker accepts; `None` if it states no limit.
    pub limit_per_s: Option<f64>,
    /// Time at which the request was sent.
    pub sent_ms: u64,
}
