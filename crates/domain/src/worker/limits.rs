//! Capacity of an engine and limits of its queue.

/// Capacity of an engine and limits of its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Number of adapters that the engine can hold.
    pub slots: usize,
    /// Number of requests that the engine runs concurrently.
    pub batch_places: usize,
    /// Predicted cost above which a request counts as long work.
    pub long_work_tokens: u64,
    /// Maximum number of waiting requests.
    pub max_queue_length: usize,
    /// Maximum time that a request may wait.
    pub max_queue_wait_ms: u64,
}
