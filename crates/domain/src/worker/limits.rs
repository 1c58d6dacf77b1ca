//! Capacity of an engine and bounds of its queue.

/// Capacity of an engine and bounds of its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Adapters that the engine can hold.
    pub slots: usize,
    /// Requests that the engine runs at one time.
    pub batch_places: usize,
    /// Predicted cost above which a request counts as long work.
    pub long_work_tokens: u64,
    /// Most requests that wait.
    pub max_queue_length: usize,
    /// Longest wait of a request.
    pub max_queue_wait_ms: u64,
}
