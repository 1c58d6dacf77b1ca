//! Result of a routing decision.

use crate::name;

/// Chosen worker, with the scores and reason for the log and for `explain`.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Chosen worker.
    pub worker: name::WorkerName,
    /// Predicted time to the first token at the chosen worker.
    pub cost_ms: u64,
    /// Other workers that were scored, with their predicted times.
    pub considered: Vec<(name::WorkerName, u64)>,
    /// Rule that selected the worker.
    pub reason: &'static str,
}
