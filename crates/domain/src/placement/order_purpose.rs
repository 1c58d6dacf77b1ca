//! Purposes of orders.

/// Purpose of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderPurpose {
    /// Starts what it orders.
    Start,
    /// Asks whether the worker has finished an order that it accepted earlier.
    Poll,
    /// Tells whether the worker checks preconditions: a load of the base model that it holds, with a
    /// precondition that cannot hold.
    Probe,
    /// Tells whether the worker refused the probe for another reason: the same load, with the
    /// precondition that holds.
    ProbeControl,
    /// The probe once more: the worker may have been busy for the first one and free for the control.
    SecondProbe,
}

impl OrderPurpose {
    /// Returns whether the order tells whether the worker checks preconditions.
    pub fn is_probe(self) -> bool {
        matches!(self, Self::Probe | Self::ProbeControl | Self::SecondProbe)
    }
}
