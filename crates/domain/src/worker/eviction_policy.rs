//! Eviction policies for loaded adapters.

use super::{DecayedCount, Slot};

/// Ranks loaded adapters for eviction.
pub trait EvictionPolicy {
    /// Returns the value of keeping a slot's adapter, given the adapter's decayed demand; the lowest
    /// value is evicted first.
    fn retention_value(&self, slot: &Slot, demand: &DecayedCount, now_ms: u64) -> f64;

    /// Returns the minimum time before a newly loaded instance may be evicted.
    fn min_residence_ms(&self) -> u64;
}

/// Keeps the adapters with the highest decayed demand.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayedDemand;

impl EvictionPolicy for DecayedDemand {
    fn retention_value(&self, _slot: &Slot, demand: &DecayedCount, now_ms: u64) -> f64 {
        demand.value(now_ms)
    }

    /// Without a minimum, two adapters that compete for one slot evict each other with every request.
    fn min_residence_ms(&self) -> u64 {
        2_000
    }
}

/// Keeps the most recently used adapters; the baseline for comparisons.
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
