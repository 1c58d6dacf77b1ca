//! Authority of an order.

use jasminetack_domain::name;

/// Who orders, under which fencing token, and whom.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderContext {
    /// Daemon that orders.
    pub holder: name::HostName,
    /// Fencing token of its hold.
    pub fencing_token: u64,
    /// Worker that is meant.
    pub worker: name::WorkerName,
}
