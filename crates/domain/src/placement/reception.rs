//! Effects of results on the order that awaits its answer.

use super::sent_order::SentOrder;

/// Effect of a result on the order that awaits its answer.
#[derive(Clone, Debug)]
pub(super) enum Reception {
    /// The order is answered.
    Answered(SentOrder),
    /// The order must be repeated, or was not awaited.
    Open,
    /// Repeats did not tell whether the order was accepted, and a report must.
    GivenUp,
}
