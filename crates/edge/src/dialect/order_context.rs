//! Sender, receiver and precondition of an order.

use jasminetack_domain::name;

/// Sender, fencing token, receiver and precondition of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderContext {
    /// Daemon that sends the order.
    pub holder: name::HostName,
    /// Fencing token under which it holds the worker.
    pub fencing_token: u64,
    /// Worker that receives the order.
    pub worker: name::WorkerName,
    /// Number of accepted orders at which the worker may execute the order; `None` for a worker that
    /// does not check preconditions.
    pub precondition: Option<u64>,
}
