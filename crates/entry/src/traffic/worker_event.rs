//! Reports of owned workers to the control thread.

use jasminetack_domain::adapter;
use jasminetack_domain::name;

/// What the control thread is told of an owned worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEvent {
    /// The worker.
    pub worker: name::WorkerName,
    /// Fencing number of the ownership that is meant.
    pub fencing: adapter::FencingToken,
    /// What happened.
    pub kind: WorkerEventKind,
}

/// What happened to an owned worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerEventKind {
    /// The worker was revoked and its last request has ended.
    Drained,
    /// The engine knows a higher fencing number; the ownership is over.
    Superseded,
    /// Probes failed; the worker gets no new work.
    Unavailable,
    /// A probe succeeded after the worker was unavailable.
    Available,
    /// The engine says that it is leaving.
    Leaving,
}

/// Load of an owned worker, to be spread to other daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerSummary {
    /// The worker.
    pub worker: name::WorkerName,
    /// Adapters that requests can use at once.
    pub loaded: Vec<adapter::AdapterRef>,
    /// Requests that wait or run.
    pub outstanding: u32,
    /// Whether probes succeed.
    pub available: bool,
}
