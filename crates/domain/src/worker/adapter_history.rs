//! Recent demand, output lengths and load failures by adapter.

use indexmap::IndexMap;

use super::DecayedCount;
use crate::adapter;

/// Predicted output length of an adapter that has not completed a request yet.
const DEFAULT_OUTPUT_TOKENS: f64 = 128.0;
/// Weight of the newest output length in the exponentially weighted moving average.
const OUTPUT_EWMA_WEIGHT: f64 = 0.1;
/// Assumed prompt bytes per token.
const BYTES_PER_TOKEN: u64 = 4;
/// Backoff after the first failed load; it doubles with each further failure.
const INITIAL_BACKOFF_MS: u64 = 500;
/// Upper limit of the load backoff.
const MAX_BACKOFF_MS: u64 = 30_000;
/// Number of adapters tracked before those without recent demand are dropped.
const MAX_ADAPTERS: usize = 1_024;
/// Decayed demand at or below which an adapter may be dropped.
const MIN_RETAINED_DEMAND: f64 = 0.05;

/// Recent demand, output length and load backoff of requested adapters.
#[derive(Clone, Debug, Default)]
pub struct AdapterHistory {
    adapters: IndexMap<adapter::AdapterRef, AdapterEntry>,
}

#[derive(Clone, Copy, Debug, Default)]
struct AdapterEntry {
    demand: DecayedCount,
    mean_output_tokens: Option<f64>,
    backoff: Option<Backoff>,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    delay_ms: u64,
    until_ms: u64,
}

impl AdapterHistory {
    /// Records a request for an adapter.
    pub fn record_request(&mut self, adapter: &adapter::AdapterRef, now_ms: u64) {
        if self.adapters.len() >= MAX_ADAPTERS && !self.adapters.contains_key(adapter) {
            self.adapters.retain(|_, entry| {
                entry.demand.value(now_ms) > MIN_RETAINED_DEMAND
                    || entry.backoff.is_some_and(|backoff| backoff.until_ms > now_ms)
            });
        }
        self.adapters.entry(adapter.clone()).or_default().demand.add(now_ms);
    }

    /// Returns the decayed demand for an adapter.
    pub fn demand(&self, adapter: &adapter::AdapterRef) -> DecayedCount {
        self.adapters.get(adapter).map(|entry| entry.demand).unwrap_or_default()
    }

    /// Records the output length of a completed request.
    pub fn record_output(&mut self, adapter: &adapter::AdapterRef, output_tokens: u64) {
        let Some(entry) = self.adapters.get_mut(adapter) else { return };
        let observed = output_tokens as f64;
        let mean = entry.mean_output_tokens.unwrap_or(observed);
        entry.mean_output_tokens = Some(mean + (observed - mean) * OUTPUT_EWMA_WEIGHT);
    }

    /// Predicts the cost of a request: its prompt plus the mean output, capped by `token_limit`.
    pub fn predict_tokens(
        &self,
        adapter: &adapter::AdapterRef,
        prompt_bytes: u64,
        token_limit: Option<u32>,
    ) -> u64 {
        let mean = self.adapters.get(adapter).and_then(|entry| entry.mean_output_tokens);
        let output = mean.unwrap_or(DEFAULT_OUTPUT_TOKENS);
        let output = token_limit.map_or(output, |limit| output.min(f64::from(limit)));
        prompt_bytes / BYTES_PER_TOKEN + output as u64
    }

    /// Clears the backoff after a successful load.
    pub fn load_succeeded(&mut self, adapter: &adapter::AdapterRef) {
        if let Some(entry) = self.adapters.get_mut(adapter) {
            entry.backoff = None;
        }
    }

    /// Records a failed load and doubles the backoff.
    pub fn load_failed(&mut self, adapter: &adapter::AdapterRef, now_ms: u64) {
        let entry = self.adapters.entry(adapter.clone()).or_default();
        let delay_ms = entry.backoff.map_or(INITIAL_BACKOFF_MS, |backoff| backoff.delay_ms * 2);
        let delay_ms = delay_ms.min(MAX_BACKOFF_MS);
        entry.backoff = Some(Backoff { delay_ms, until_ms: now_ms + delay_ms });
    }

    /// Returns the remaining backoff of an adapter; 0 if it may be loaded now.
    pub fn remaining_backoff_ms(&self, adapter: &adapter::AdapterRef, now_ms: u64) -> u64 {
        let backoff = self.adapters.get(adapter).and_then(|entry| entry.backoff);
        backoff.map_or(0, |backoff| backoff.until_ms.saturating_sub(now_ms))
    }
}
