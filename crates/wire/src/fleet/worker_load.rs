//! Load of one daemon on one worker.

use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use prost::Message;

/// Load that the sender puts on one worker.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerLoad {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Requests in flight.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
    /// Prompt tokens of requests whose response has not started.
    #[prost(uint32, tag = "3")]
    pub pending_prompt_tokens: u32,
    /// Tokens that the requests take of the worker's memory.
    #[prost(uint32, tag = "4")]
    pub memory_tokens: u32,
}

impl From<&dispatch::ReportedLoad> for WorkerLoad {
    fn from(load: &dispatch::ReportedLoad) -> Self {
        Self {
            worker: load.worker.to_string(),
            in_flight: load.in_flight,
            pending_prompt_tokens: load.unread_tokens,
            memory_tokens: load.memory_tokens,
        }
    }
}

impl From<&WorkerLoad> for dispatch::ReportedLoad {
    fn from(load: &WorkerLoad) -> Self {
        Self {
            worker: name::WorkerName::from(load.worker.as_str()),
            in_flight: load.in_flight,
            unread_tokens: load.pending_prompt_tokens,
            memory_tokens: load.memory_tokens,
        }
    }
}
