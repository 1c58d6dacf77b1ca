//! Value of loaded adapters.

use super::{DecayedCount, Slot};

/// Value of keeping a loaded adapter; the lowest is evicted first.
pub trait EvictionPolicy {
    /// Returns the value of keeping a slot's adapter, given the adapter's decayed demand.
    fn retention_value(&self, slot: &Slot, demand: &DecayedCount, now_ms: u64) -> f64;

    /// Returns how long a new instance stays at least.
    fn min_residence_ms(&self) -> u64;
}

/// Keeps the adapters with the highest decayed demand.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayedDemand;

impl EvictionPolicy for DecayedDemand {
    fn retention_value(&self, _slot: &Slot, demand: &DecayedCount, now_ms: u64) -> f64 {
        demand.value(now_ms)
    }

    /// Two adapters that compete for one slot would otherwise evict each other with every request.
    fn min_residence_ms(&self) -> u64 {
        2_000
    }
}

/// Baseline: keeps the adapters that were used last.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastRecentlyUsed;

impl EvictionPolicy for LeastRecentlyUsed {
    fn retention_value(&self, slot: &Slot, _demand: &DecayedCount, _now_ms: u64) -> f64 {
        slot.last_used_ms() as f64
    }

    fn min_residence_ms(&self) -> u64 {
        0
    }
}
