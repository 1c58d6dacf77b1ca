//! Exponentially decayed count.

/// A count in which each event loses half its weight in a fixed time.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayedCount {
    value: f64,
    at_ms: u64,
}

impl DecayedCount {
    /// Short enough that a shift of popularity shows within a minute, long enough that an adapter
    /// used every few seconds keeps its slot.
    const HALF_LIFE_MS: f64 = 30_000.0;

    /// Counts one event.
    pub fn add(&mut self, now_ms: u64) {
        self.value = self.value(now_ms) + 1.0;
        self.at_ms = now_ms;
    }

    /// Returns the decayed count.
    #[must_use]
    pub fn value(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.value * (-age_ms / Self::HALF_LIFE_MS).exp2()
    }
}
