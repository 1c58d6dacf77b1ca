//! The order that a worker has not answered.

use super::Order;
use super::order_purpose::OrderPurpose;

/// Order that awaits its answer, or that must be repeated because it got none.
#[derive(Clone, Debug)]
pub(super) struct SentOrder {
    /// The order.
    pub order: Order,
    /// Why it was sent.
    pub purpose: OrderPurpose,
    /// Precondition of all its copies.
    pub precondition: Option<u64>,
    /// Whether a copy is on its way.
    pub awaits_answer: bool,
    /// Time at which the last copy was sent.
    pub sent_ms: u64,
    /// Whether the order was sent before and got no answer.
    pub was_unanswered: bool,
    /// Time of the first result that does not tell whether the worker accepted the order.
    pub unknown_since_ms: Option<u64>,
    /// Time of the first answer with an unspecified status.
    pub unspecified_since_ms: Option<u64>,
    /// Time of the next repeat.
    pub next_ms: u64,
}
