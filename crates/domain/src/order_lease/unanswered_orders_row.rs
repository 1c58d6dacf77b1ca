//! Record of orders without an answer.

/// Deadline of a worker's unanswered orders, which may still be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnansweredOrdersRow {
    /// Store time after which none of the orders is executed.
    pub until_store_ms: u64,
}
