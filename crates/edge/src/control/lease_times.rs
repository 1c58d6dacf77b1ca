//! Timing of the lease.

/// Timing of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Duration of the lease.
    pub ttl_ms: u64,
    /// Renewal interval.
    pub renewal_ms: u64,
    /// Time after expiry during which no other daemon may take over workers.
    pub guard_ms: u64,
}
