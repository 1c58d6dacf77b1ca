//! Facts that a daemon adds to a request for a worker.

use jasminetack_domain::name;

/// What a daemon tells a worker with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardMetadata<'a> {
    /// The worker that is meant; any other refuses the request.
    pub worker: &'a name::WorkerName,
    /// Time that is left, when the caller named a time.
    pub deadline_ms: Option<u64>,
    /// Rank among the worker's requests; 0 is the most urgent. `None` for application services.
    pub priority: Option<u8>,
    /// Version of the adapter that must answer.
    pub adapter_version: Option<u32>,
    /// Last event that the caller has, when a stream is continued.
    pub last_event_id: Option<&'a str>,
}
