//! Comparison of the latencies of workers.

use rustc_hash::FxHashMap;

use super::WorkerLatency;
use crate::name;

/// Multiple of the median of the base model above which a worker is slow.
const STRAGGLER_FACTOR: f64 = 3.0;
/// Time for which a worker must be slow to count as a straggler.
const STRAGGLER_AFTER_MS: u64 = 1_000;
/// Interval between probe requests to a straggler.
const PROBE_INTERVAL_MS: u64 = 1_000;
/// Lifetime of a cached median; computing it scans the workers of a base model.
const MEDIAN_INTERVAL_MS: u64 = 250;
/// Minimum number of workers for a meaningful median.
const MIN_COMPARED: usize = 3;
/// Differences up to this are treated as noise.
const MIN_SLOW_MS: f64 = 5.0;

/// Latencies of all workers and the medians of their base models.
#[derive(Clone, Debug, Default)]
pub struct LatencyTracker {
    workers: FxHashMap<name::WorkerName, (name::BaseModelName, WorkerLatency)>,
    medians: FxHashMap<name::BaseModelName, Medians>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Medians {
    first_token_ms: Option<f64>,
    between_tokens_ms: Option<f64>,
    at_ms: u64,
}

impl LatencyTracker {
    /// Records the time from sending a request to its first token.
    pub fn record_first_token(
        &mut self,
        worker: &name::WorkerName,
        base_model: &name::BaseModelName,
        elapsed_ms: f64,
        now_ms: u64,
    ) {
        self.latency_mut(worker, base_model).record_first_token(elapsed_ms, now_ms);
        self.compare(worker, now_ms);
    }

    /// Records the time between two tokens.
    pub fn record_between_tokens(
        &mut self,
        worker: &name::WorkerName,
        base_model: &name::BaseModelName,
        elapsed_ms: f64,
        now_ms: u64,
    ) {
        self.latency_mut(worker, base_model).record_between_tokens(elapsed_ms, now_ms);
        self.compare(worker, now_ms);
    }

    /// Returns the latency of a worker.
    #[must_use]
    pub fn get(&self, worker: &name::WorkerName) -> Option<&WorkerLatency> {
        self.workers.get(worker).map(|(_, latency)| latency)
    }

    /// Returns whether a worker has been slow long enough to receive only probes.
    #[must_use]
    pub fn is_straggler(&self, worker: &name::WorkerName, now_ms: u64) -> bool {
        let slow_since_ms = self.get(worker).and_then(WorkerLatency::slow_since_ms);
        slow_since_ms.is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= STRAGGLER_AFTER_MS)
    }

    /// Returns whether a straggler may receive a probe request now, and records it if so.
    pub fn try_probe(&mut self, worker: &name::WorkerName, now_ms: u64) -> bool {
        let Some((_, latency)) = self.workers.get_mut(worker) else { return false };
        if latency.probed_ms().is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < PROBE_INTERVAL_MS)
        {
            return false;
        }
        latency.record_probe(now_ms);
        true
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: &name::WorkerName) {
        self.workers.remove(worker);
    }

    fn latency_mut(
        &mut self,
        worker: &name::WorkerName,
        base_model: &name::BaseModelName,
    ) -> &mut WorkerLatency {
        let entry = self.workers.entry(worker.clone());
        &mut entry.or_insert_with(|| (base_model.clone(), WorkerLatency::default())).1
    }

    fn compare(&mut self, worker: &name::WorkerName, now_ms: u64) {
        let Some((base_model, _)) = self.workers.get(worker) else { return };
        let base_model = base_model.clone();
        let medians = self.medians(&base_model, now_ms);
        let Some((_, latency)) = self.workers.get_mut(worker) else { return };
        let is_slow = exceeds(latency.first_token_ms(), medians.first_token_ms)
            || exceeds(latency.between_tokens_ms(), medians.between_tokens_ms);
        latency.set_slow(is_slow, now_ms);
    }

    fn medians(&mut self, base_model: &name::BaseModelName, now_ms: u64) -> Medians {
        if let Some(medians) = self.medians.get(base_model)
            && now_ms.saturating_sub(medians.at_ms) < MEDIAN_INTERVAL_MS
        {
            return *medians;
        }
        let mut first_tokens = Vec::new();
        let mut between_tokens = Vec::new();
        for (other_model, latency) in self.workers.values() {
            if other_model != base_model {
                continue;
            }
            first_tokens.extend(latency.first_token_ms());
            between_tokens.extend(latency.between_tokens_ms());
        }
        let medians = Medians {
            first_token_ms: median(first_tokens),
            between_tokens_ms: median(between_tokens),
            at_ms: now_ms,
        };
        self.medians.insert(base_model.clone(), medians);
        medians
    }
}

fn exceeds(value_ms: Option<f64>, median_ms: Option<f64>) -> bool {
    let (Some(value_ms), Some(median_ms)) = (value_ms, median_ms) else { return false };
    value_ms > median_ms * STRAGGLER_FACTOR && value_ms - median_ms > MIN_SLOW_MS
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    if values.len() < MIN_COMPARED {
        return None;
    }
    let middle = values.len() / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
