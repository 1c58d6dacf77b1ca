//! Faults of a worker.

/// Faults of a worker; all are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerFaults {
    /// Requests are refused as not executed.
    pub refuses: bool,
    /// Requests run, and the connection breaks before the answer.
    pub loses_answers: bool,
    /// Streams break after this many events.
    pub breaks_after: Option<u32>,
    /// Nothing is answered at all.
    pub is_silent: bool,
    /// Answers name another request.
    pub mixes_answers: bool,
    /// Orders are carried out without an answer.
    pub mutes_orders: bool,
    /// Plain requests fail with an error of the worker's own.
    pub fails: bool,
}
