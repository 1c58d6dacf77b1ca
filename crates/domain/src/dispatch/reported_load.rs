//! Load reported by another daemon.

use crate::name;

/// Load of one daemon on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// The worker.
    pub worker: name::WorkerName,
    /// Requests in flight there.
    pub in_flight: u32,
    /// Prompt tokens of those requests that have no answer yet.
    pub unread_tokens: u32,
    /// Tokens that the requests take of the worker's memory.
    pub memory_tokens: u32,
}
