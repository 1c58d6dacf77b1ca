//! Events and summaries of owned workers, for the control thread.

use jasminetack_domain::adapter;
use jasminetack_domain::name;

/// Event of an owned worker that the control thread is notified of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEvent {
    /// The worker.
    pub worker: name::WorkerName,
    /// Fencing token of the ownership that the event belongs to.
    pub fencing: adapter::FencingToken,
    /// Kind of the event.
    pub kind: WorkerEventKind,
}

/// Kind of a worker event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerEventKind {
    /// The worker was revoked and its last request has ended.
    Drained,
    /// The engine knows a higher fencing token, so the ownership is over.
    Superseded,
    /// Consecutive probes failed; the worker accepts no requests.
    Unavailable,
    /// A probe succeeded after the worker was unavailable.
    Available,
    /// The engine reports that it is leaving.
    Leaving,
}

/// Loaded adapters and load of an owned worker, as published to other daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerSummary {
    /// The worker.
    pub worker: name::WorkerName,
    /// Loaded adapters that can serve requests without a load.
    pub loaded: Vec<adapter::AdapterRef>,
    /// Number of queued and running requests.
    pub outstanding: u32,
    /// Whether the worker accepts requests.
    pub available: bool,
}
