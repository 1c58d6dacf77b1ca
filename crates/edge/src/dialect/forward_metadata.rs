//! Metadata that a daemon adds to a request for a worker.

use jasminetack_domain::name;

/// Metadata that a daemon sends to a worker with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardMetadata<'a> {
    /// Intended receiver; any other worker refuses the request.
    pub worker: &'a name::WorkerName,
    /// Remaining time, if the caller set a deadline.
    pub deadline_ms: Option<u64>,
    /// Priority among the worker's requests, 0 being the highest; `None` for app services.
    pub priority: Option<u8>,
    /// Required version of the adapter.
    pub adapter_version: Option<u32>,
    /// Whether callers are authenticated; their keys and names of teams are then removed.
    pub has_teams: bool,
    /// Team that sent the request; `None` on a public route.
    pub team: Option<&'a name::TeamName>,
    /// Identifier of the last event that the caller received, if a stream is resumed.
    pub last_event_id: Option<&'a str>,
}
