//! Sender and receiver of an order.

use jasminetack_domain::name;

/// Sender, fencing token and receiver of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderContext {
    /// Daemon that sends the order.
    pub holder: name::HostName,
    /// Fencing token under which it holds the worker.
    pub fencing_token: u64,
    /// Worker that receives the order.
    pub worker: name::WorkerName,
}
