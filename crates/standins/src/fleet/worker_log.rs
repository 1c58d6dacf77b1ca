//! What a worker saw.

use std::time::Instant;

/// A request that a worker began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    /// Identifier of the request.
    pub attempt_id: String,
    /// Adapter version that answered, as NAME@VERSION.
    pub adapter: Option<String>,
    /// Time that the request said is left, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// Event after which the stream was continued.
    pub resumed_after: u32,
    /// When the run began.
    pub started: Instant,
    /// When it ended: complete, broken off or left by its caller.
    pub ended: Option<Instant>,
}

/// An order that a worker received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedOrder {
    /// Daemon that ordered.
    pub holder: String,
    /// Fencing token.
    pub fence: u64,
    /// Operation and adapter.
    pub order: String,
    /// When it came.
    pub at: Instant,
}

/// What a worker saw.
#[derive(Clone, Debug, Default)]
pub struct WorkerLog {
    /// Requests that ran.
    pub runs: Vec<Run>,
    /// Orders.
    pub orders: Vec<ReceivedOrder>,
    /// Adapters that were ordered to be dropped while a run used them.
    pub unloads_in_use: usize,
    /// Broken promises, in words.
    pub violations: Vec<String>,
}
