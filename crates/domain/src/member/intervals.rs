//! Recent intervals between heartbeats.

use std::collections::VecDeque;

/// Ring buffer of the most recent intervals between heartbeat arrivals.
#[derive(Clone, Debug)]
pub(super) struct Intervals {
    last_ms: u64,
    capacity: usize,
    intervals_ms: VecDeque<u64>,
}

impl Intervals {
    pub(super) fn new(capacity: usize, now_ms: u64) -> Self {
        Self { last_ms: now_ms, capacity, intervals_ms: VecDeque::with_capacity(capacity) }
    }

    pub(super) fn record_arrival(&mut self, now_ms: u64) {
        if self.intervals_ms.len() == self.capacity {
            self.intervals_ms.pop_front();
        }
        self.intervals_ms.push_back(now_ms.saturating_sub(self.last_ms));
        self.last_ms = now_ms;
    }

    pub(super) fn last_ms(&self) -> u64 {
        self.last_ms
    }

    pub(super) fn len(&self) -> usize {
        self.intervals_ms.len()
    }

    /// Iterates over the intervals, oldest first.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn iter_ms(&self) -> impl Iterator<Item = f64> + '_ {
        self.intervals_ms.iter().map(|interval_ms| *interval_ms as f64)
    }

    #[allow(clippy::cast_precision_loss)]
    pub(super) fn mean_ms(&self) -> f64 {
        self.iter_ms().sum::<f64>() / self.len().max(1) as f64
    }
}
