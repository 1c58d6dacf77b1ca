//! Recent crashes of workers.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::evidence::Evidence;
use super::{SuspectSegment, WorkerCrash};
use crate::dispatch;
use crate::name;

/// Time within which the daemons report a crash. A later report is of another crash, although the worker's
/// new start is not known yet.
const REPORT_SPREAD_MS: u64 = 1_500;
/// Time for which a crash counts.
const LIFETIME_MS: u64 = 600_000;
/// Crashes that are kept; the oldest are dropped first.
const MAX_CRASHES: usize = 128;
/// Suspected segments that are kept for each crash.
const MAX_SUSPECTS: usize = 256;

/// Recent crashes of workers, the oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashLog {
    crashes: VecDeque<Crash>,
}

#[derive(Clone, Debug)]
struct Crash {
    worker: name::WorkerName,
    started_unix_ms: u64,
    at_ms: u64,
    suspects: IndexMap<dispatch::SegmentId, SuspectSegment>,
}

impl CrashLog {
    /// Records a crash as one daemon saw it.
    pub fn record(&mut self, crash: &WorkerCrash, now_ms: u64) {
        let known = self.reported(crash, now_ms);
        for suspect in &crash.suspects {
            if let Some(seen) = known.suspects.get_mut(&suspect.id) {
                seen.requests = seen.requests.saturating_add(suspect.requests);
                seen.position = seen.position.max(suspect.position);
            } else if known.suspects.len() < MAX_SUSPECTS {
                known.suspects.insert(suspect.id, *suspect);
            }
        }
    }

    /// Returns the crash that a daemon reports, which is new if no other one has reported it.
    fn reported(&mut self, crash: &WorkerCrash, now_ms: u64) -> &mut Crash {
        let is_same = |known: &Crash| {
            known.worker == crash.worker
                && known.started_unix_ms == crash.started_unix_ms
                && now_ms.saturating_sub(known.at_ms) < REPORT_SPREAD_MS
        };
        if let Some(position) = self.crashes.iter().rposition(is_same) {
            return &mut self.crashes[position];
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        let (worker, started_unix_ms) = (crash.worker.clone(), crash.started_unix_ms);
        let suspects = IndexMap::new();
        self.crashes.push_back(Crash { worker, started_unix_ms, at_ms: now_ms, suspects });
        self.crashes.back_mut().expect("the crash was just added")
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
        let mut all: IndexMap<dispatch::SegmentId, Evidence> = IndexMap::new();
        for crash in &self.crashes {
            if crash.suspects.keys().any(|segment| is_known_cause(*segment)) {
                continue;
            }
            for suspect in crash.suspects.values() {
                let segment = suspect.id;
                let new = || Evidence { segment, crashes_ms: Vec::new(), requests: 0, position: 0 };
                let evidence = all.entry(segment).or_insert_with(new);
                evidence.crashes_ms.push(crash.at_ms);
                evidence.requests = evidence.requests.saturating_add(suspect.requests);
                evidence.position = evidence.position.max(suspect.position);
            }
        }
        all.into_values().collect()
    }
}
