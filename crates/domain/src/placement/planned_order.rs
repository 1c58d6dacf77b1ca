//! Order with its precondition.

use super::Order;

/// An order to send now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The order.
    pub order: Order,
    /// Number of accepted orders at which the worker may execute it; `None` for a worker that does not
    /// check preconditions.
    pub precondition: Option<u64>,
}
