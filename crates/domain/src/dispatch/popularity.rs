//! Request rate of adapters.

use rustc_hash::FxHashMap;

use crate::name;

/// Half-life of a request.
const HALF_LIFE_MS: f64 = 4_000.0;
/// Number of tracked adapters from which adapters without recent requests are removed.
const MAX_ADAPTERS: usize = 8_192;
/// Decayed number of requests below which an adapter is removed.
const MIN_WEIGHT: f64 = 0.05;

/// Decayed number of this daemon's requests by adapter.
#[derive(Clone, Debug, Default)]
pub struct Popularity {
    adapters: FxHashMap<name::AdapterName, (f64, u64)>,
}

impl Popularity {
    /// Records a request.
    pub fn record_request(&mut self, adapter: &name::AdapterName, now_ms: u64) {
        if self.adapters.len() >= MAX_ADAPTERS {
            self.adapters
                .retain(|_, (weight, at_ms)| decayed(*weight, *at_ms, now_ms) > MIN_WEIGHT);
        }
        let (weight, at_ms) = self.adapters.entry(adapter.clone()).or_default();
        *weight = decayed(*weight, *at_ms, now_ms) + 1.0;
        *at_ms = now_ms;
    }

    /// Returns the decayed number of requests for an adapter.
    #[must_use]
    pub fn weight(&self, adapter: &name::AdapterName, now_ms: u64) -> f64 {
        let known = self.adapters.get(adapter);
        known.map_or(0.0, |(weight, at_ms)| decayed(*weight, *at_ms, now_ms))
    }
}

fn decayed(weight: f64, at_ms: u64, now_ms: u64) -> f64 {
    weight * (-(now_ms.saturating_sub(at_ms) as f64) / HALF_LIFE_MS).exp2()
}
