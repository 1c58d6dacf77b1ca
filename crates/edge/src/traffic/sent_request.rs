//! Request that is sent to a worker.

use jasminetack_domain::dispatch;
use jasminetack_domain::name;

/// Request that is sent to a worker, as the accounting of its load needs it.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest<'a> {
    /// The worker.
    pub worker: &'a name::WorkerName,
    /// Service of the worker.
    pub service: &'a name::ServiceName,
    /// Adapter that the request uses.
    pub adapter: Option<&'a name::AdapterName>,
    /// Size of the request.
    pub size: dispatch::RequestSize,
    /// Prompt tokens that the worker has to read.
    pub unread_tokens: u32,
}
