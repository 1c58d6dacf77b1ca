//! Faults of a worker.

/// Faults of a worker; all are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerFaults {
    /// Requests are refused as not executed.
    pub rejects_requests: bool,
    /// Requests run, and the connection breaks before the answer.
    pub drops_responses: bool,
    /// Streams break after this many events.
    pub abort_stream_after: Option<u32>,
    /// Nothing is answered at all.
    pub is_unresponsive: bool,
    /// Answers name another request.
    pub mismatches_attempt_ids: bool,
    /// Orders are carried out without an answer.
    pub withholds_order_responses: bool,
    /// Plain requests fail with an error of the worker's own.
    pub returns_errors: bool,
}
