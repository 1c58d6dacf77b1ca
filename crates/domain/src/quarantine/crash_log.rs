//! Recent crashes of workers.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::WorkerCrash;
use super::evidence::Evidence;
use super::recorded_crash::RecordedCrash;
use crate::dispatch;

/// Time for which a crash counts.
const LIFETIME_MS: u64 = 600_000;
/// Crashes that are kept; the oldest are dropped first, unless they are recent.
const MAX_CRASHES: usize = 128;
/// Age up to which the first crashes are kept and further ones ignored, so that a decision need not wait
/// until workers stop crashing.
const RECENT_MS: u64 = 10_000;

/// Recent crashes of workers, the oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashLog {
    crashes: VecDeque<RecordedCrash>,
}

impl CrashLog {
    /// Records a crash as one daemon saw it.
    pub fn record(&mut self, crash: &WorkerCrash, now_ms: u64) {
        let is_same = |recorded: &RecordedCrash| recorded.is_reported_by(crash, now_ms);
        if let Some(position) = self.crashes.iter().rposition(is_same) {
            self.crashes[position].add_report(crash);
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            let oldest_ms = self.crashes.front().map_or(0, |crash| crash.at_ms);
            if now_ms.saturating_sub(oldest_ms) < RECENT_MS {
                return;
            }
            self.crashes.pop_front();
        }
        self.crashes.push_back(RecordedCrash::new(crash, now_ms));
    }

    /// Drops crashes that no longer count.
    pub fn expire(&mut self, now_ms: u64) {
        self.crashes.retain(|crash| now_ms.saturating_sub(crash.at_ms) < LIFETIME_MS);
    }

    /// Drops a segment from the suspects of all crashes up to a time; returns from how many.
    pub fn exonerate(&mut self, segment: dispatch::SegmentId, until_ms: u64) -> usize {
        let mut dropped = 0;
        for crash in &mut self.crashes {
            if crash.at_ms <= until_ms && crash.suspects.swap_remove(&segment).is_some() {
                dropped += 1;
            }
        }
        dropped
    }

    /// Returns the time of the first crash from `since_ms` on that a segment is suspected of.
    pub fn first_crash_ms(&self, segment: dispatch::SegmentId, since_ms: u64) -> Option<u64> {
        let crashes = self.crashes.iter().filter(|crash| crash.at_ms >= since_ms);
        crashes.filter(|crash| crash.suspects.contains_key(&segment)).map(|crash| crash.at_ms).min()
    }

    /// Returns the evidence against each segment, leaving out the crashes that have another known
    /// cause.
    pub fn evidence<IsKnown>(&self, is_known_cause: IsKnown) -> Vec<Evidence>
    where
        IsKnown: Fn(dispatch::SegmentId) -> bool,
    {
        let is_unexplained =
            |crash: &&RecordedCrash| !crash.suspects.keys().any(|segment| is_known_cause(*segment));
        let unexplained: Vec<_> = self.crashes.iter().filter(is_unexplained).collect();
        let mut all: IndexMap<dispatch::SegmentId, Evidence> = IndexMap::new();
        for (index, crash) in unexplained.iter().enumerate() {
            let since = &unexplained[index..];
            let all_requests = since.iter().map(|crash| crash.requests).sum();
            for suspect in crash.suspects.values() {
                let new = || Evidence::new(suspect.id, since.len(), all_requests);
                let evidence = all.entry(suspect.id).or_insert_with(new);
                evidence.crashes_ms.push(crash.at_ms);
                evidence.requests = evidence.requests.saturating_add(suspect.requests);
                evidence.position = evidence.position.max(suspect.position);
            }
        }
        all.into_values().collect()
    }
}
