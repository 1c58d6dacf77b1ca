//! Use of an adapter on a worker by one daemon.

/// Use of one adapter on one worker by one daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdapterUse {
    /// Requests that use the adapter now.
    pub in_flight: u32,
    /// Requests started since the last report.
    pub started: u32,
}
