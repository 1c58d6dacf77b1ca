//! Worker that stated that it is leaving.

use prost::Message;

/// Worker process that stated in a response that it is leaving.
#[derive(Clone, PartialEq, Message)]
pub struct LeavingWorker {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Start of the process in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub started_unix_ms: u64,
}
