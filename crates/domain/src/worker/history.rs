//! What a worker remembers of adapters.

use indexmap::IndexMap;

use super::DecayedCount;
use crate::adapter;

/// Output expected of an adapter that has not answered yet.
const UNKNOWN_OUTPUT_TOKENS: f64 = 128.0;
/// Weight of the newest output length in the mean.
const NEWEST_WEIGHT: f64 = 0.1;
/// Bytes of prompt text for each token.
const BYTES_PER_TOKEN: u64 = 4;
/// First pause after a failed load.
const BACKOFF_MIN_MS: u64 = 500;
/// Longest pause after failed loads.
const BACKOFF_MAX_MS: u64 = 30_000;
/// Adapters remembered before those without recent demand are forgotten.
const MAX_ADAPTERS: usize = 1_024;
/// Demand below which an adapter may be forgotten.
const FORGET_BELOW: f64 = 0.05;

/// Demand, output length and load failures of the adapters that were asked for.
#[derive(Clone, Debug, Default)]
pub struct History {
    adapters: IndexMap<adapter::AdapterRef, Entry>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    demand: DecayedCount,
    mean_output_tokens: Option<f64>,
    backoff: Option<Backoff>,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    pause_ms: u64,
    until_ms: u64,
}

impl History {
    /// Counts a request for an adapter.
    pub fn asked(&mut self, adapter: &adapter::AdapterRef, now_ms: u64) {
        if self.adapters.len() >= MAX_ADAPTERS && !self.adapters.contains_key(adapter) {
            self.adapters.retain(|_, entry| {
                entry.demand.value(now_ms) > FORGET_BELOW
                    || entry.backoff.is_some_and(|backoff| backoff.until_ms > now_ms)
            });
        }
        self.adapters.entry(adapter.clone()).or_default().demand.add(now_ms);
    }

    /// Returns the decayed demand for an adapter.
    pub fn demand(&self, adapter: &adapter::AdapterRef) -> DecayedCount {
        self.adapters.get(adapter).map(|entry| entry.demand).unwrap_or_default()
    }

    /// Takes in the length of an answer.
    pub fn answered(&mut self, adapter: &adapter::AdapterRef, output_tokens: u64) {
        let Some(entry) = self.adapters.get_mut(adapter) else { return };
        let observed = output_tokens as f64;
        let known = entry.mean_output_tokens.unwrap_or(observed);
        entry.mean_output_tokens = Some(known + (observed - known) * NEWEST_WEIGHT);
    }

    /// Predicts the cost of a request.
    pub fn predict_tokens(
        &self,
        adapter: &adapter::AdapterRef,
        prompt_bytes: u64,
        token_limit: Option<u32>,
    ) -> u64 {
        let mean = self.adapters.get(adapter).and_then(|entry| entry.mean_output_tokens);
        let output = mean.unwrap_or(UNKNOWN_OUTPUT_TOKENS);
        let output = token_limit.map_or(output, |limit| output.min(f64::from(limit)));
        prompt_bytes / BYTES_PER_TOKEN + output as u64
    }

    /// Notes a successful load.
    pub fn load_succeeded(&mut self, adapter: &adapter::AdapterRef) {
        if let Some(entry) = self.adapters.get_mut(adapter) {
            entry.backoff = None;
        }
    }

    /// Notes a failed load and doubles the pause before the next one.
    pub fn load_failed(&mut self, adapter: &adapter::AdapterRef, now_ms: u64) {
        let entry = self.adapters.entry(adapter.clone()).or_default();
        let pause_ms = entry.backoff.map_or(BACKOFF_MIN_MS, |backoff| backoff.pause_ms * 2);
        let pause_ms = pause_ms.min(BACKOFF_MAX_MS);
        entry.backoff = Some(Backoff { pause_ms, until_ms: now_ms + pause_ms });
    }

    /// Returns the time left until an adapter may be loaded again; 0 when it may be now.
    pub fn backoff_left_ms(&self, adapter: &adapter::AdapterRef, now_ms: u64) -> u64 {
        let backoff = self.adapters.get(adapter).and_then(|entry| entry.backoff);
        backoff.map_or(0, |backoff| backoff.until_ms.saturating_sub(now_ms))
    }
}
