//! Crash of a worker.

use jasminetack_domain::name;
use jasminetack_domain::quarantine;
use prost::Message;

use super::SuspectSegment;

/// Crash of a worker, as the sender saw it.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerCrash {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Start of the process that crashed, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub started_unix_ms: u64,
    /// Segments of the sender's requests that may be the cause.
    #[prost(message, repeated, tag = "3")]
    pub suspects: Vec<SuspectSegment>,
    /// Number of these requests.
    #[prost(uint32, tag = "4")]
    pub requests: u32,
}

impl From<&quarantine::WorkerCrash> for WorkerCrash {
    fn from(crash: &quarantine::WorkerCrash) -> Self {
        Self {
            worker: crash.worker.to_string(),
            started_unix_ms: crash.started_unix_ms,
            suspects: crash.suspects.iter().map(SuspectSegment::from).collect(),
            requests: crash.requests,
        }
    }
}

impl From<&WorkerCrash> for quarantine::WorkerCrash {
    fn from(crash: &WorkerCrash) -> Self {
        Self {
            worker: name::WorkerName::from(crash.worker.as_str()),
            started_unix_ms: crash.started_unix_ms,
            requests: crash.requests,
            suspects: crash.suspects.iter().map(quarantine::SuspectSegment::from).collect(),
        }
    }
}
