//! Answers of a broker.

use super::RequestKey;
use crate::name;

/// Answer of a broker to a request for a credit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The request.
    pub key: RequestKey,
    /// The decision.
    pub decision: Decision,
}

/// Decision of a broker on a request for a credit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The call may be sent to this worker.
    Granted(name::WorkerName),
    /// The request waits; another answer follows when a slot becomes free.
    Queued {
        /// Predicted wait.
        wait_ms: u64,
    },
    /// No slot becomes free in time; the request is forgotten.
    NoSlot {
        /// Predicted wait; `None` if the region has no usable worker.
        wait_ms: Option<u64>,
    },
}
