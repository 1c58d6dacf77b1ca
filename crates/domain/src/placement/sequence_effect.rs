//! Effects of answers on the number of accepted orders.

/// Effect of an answer on the number of accepted orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SequenceEffect {
    /// The worker did not accept the order, or had accepted it before.
    Unchanged,
    /// The worker accepted the order.
    Advanced,
    /// The answer does not tell.
    Unknown,
}
