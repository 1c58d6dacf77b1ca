//! Record of the requests and orders that a worker received.

use std::time::Instant;

/// A request that a worker started executing.
#[derive(Clone, Debug)]
pub struct Run {
    /// Attempt ID of the request.
    pub attempt_id: String,
    /// Adapter that runs the request, as `NAME@VERSION`.
    pub adapter: Option<String>,
    /// Remaining time to the deadline according to the request, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// `Last-Event-Id` of the request; 0 for a new stream.
    pub resumed_after: u32,
    /// Start time.
    pub started: Instant,
    /// End time, whether completed, aborted or abandoned by the caller.
    pub ended: Option<Instant>,
}

/// An order that a worker received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedOrder {
    /// Daemon that sent the order.
    pub holder: String,
    /// Fencing token.
    pub fence: u64,
    /// Operation and adapter.
    pub order: String,
    /// Time of receipt.
    pub at: Instant,
}

/// Requests and orders that a worker received, and the violations it detected.
#[derive(Clone, Debug, Default)]
pub struct WorkerLog {
    /// Number of connections that clients opened.
    pub connections: usize,
    /// Heads of all requests, orders and reads of the report, as text.
    pub heads: Vec<String>,
    /// Executed requests.
    pub runs: Vec<Run>,
    /// Times at which requests were rejected.
    pub rejections: Vec<Instant>,
    /// Received orders.
    pub orders: Vec<ReceivedOrder>,
    /// Number of unload orders for adapters that a running request was using.
    pub unloads_in_use: usize,
    /// Descriptions of protocol violations.
    pub violations: Vec<String>,
}
