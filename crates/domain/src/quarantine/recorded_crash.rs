//! Crash of a worker as all daemons saw it.

use indexmap::{IndexMap, IndexSet};

use super::{SuspectSegment, WorkerCrash};
use crate::dispatch;
use crate::name;

/// Time within which the daemons report a crash. A later report is of another crash, although the worker's
/// new start is not known yet.
const REPORT_SPREAD_MS: u64 = 1_500;
/// Suspected segments that are kept for each crash.
const MAX_SUSPECTS: usize = 256;

/// Crash of a worker as all daemons saw it.
#[derive(Clone, Debug)]
pub(super) struct RecordedCrash {
    worker: name::WorkerName,
    started_unix_ms: u64,
    /// Time of the first report.
    pub at_ms: u64,
    /// Number of requests that may be the cause.
    pub requests: u32,
    /// Number of those that this daemon sent.
    pub own_requests: u32,
    /// Their segments.
    pub suspects: IndexMap<dispatch::SegmentId, SuspectSegment>,
    /// Segments that answers have cleared since.
    cleared: IndexSet<dispatch::SegmentId>,
    /// First segments of the prompts.
    pub first_segments: IndexSet<dispatch::SegmentId>,
}

impl RecordedCrash {
    /// Records a crash of which no report has been added yet.
    pub fn new(crash: &WorkerCrash, now_ms: u64) -> Self {
        Self {
            worker: crash.worker.clone(),
            started_unix_ms: crash.started_unix_ms,
            at_ms: now_ms,
            requests: 0,
            own_requests: 0,
            suspects: IndexMap::new(),
            cleared: IndexSet::new(),
            first_segments: IndexSet::new(),
        }
    }

    /// Returns whether a report is of this crash.
    pub fn is_reported_by(&self, crash: &WorkerCrash, now_ms: u64) -> bool {
        self.worker == crash.worker
            && self.started_unix_ms == crash.started_unix_ms
            && now_ms.saturating_sub(self.at_ms) < REPORT_SPREAD_MS
    }

    /// Adds the requests of a report; `is_own` tells that this daemon sent them.
    pub fn add_report(&mut self, crash: &WorkerCrash, is_own: bool) {
        self.requests = self.requests.saturating_add(crash.requests);
        if is_own {
            self.own_requests = self.own_requests.saturating_add(crash.requests);
        }
        for suspect in &crash.suspects {
            if suspect.position == 0 && self.first_segments.len() < MAX_SUSPECTS {
                self.first_segments.insert(suspect.id);
            }
            if let Some(seen) = self.suspects.get_mut(&suspect.id) {
                seen.requests = seen.requests.saturating_add(suspect.requests);
                seen.position = seen.position.max(suspect.position);
            } else if self.suspects.len() < MAX_SUSPECTS && !self.cleared.contains(&suspect.id) {
                self.suspects.insert(suspect.id, *suspect);
            }
        }
    }

    /// Drops a segment from the suspects; returns whether it was one.
    pub fn clear(&mut self, segment: dispatch::SegmentId) -> bool {
        let was_suspect = self.suspects.swap_remove(&segment).is_some();
        if was_suspect {
            self.cleared.insert(segment);
        }
        was_suspect
    }

    /// Returns whether a request had the segment, also if an answer has cleared it since.
    pub fn had(&self, segment: dispatch::SegmentId) -> bool {
        self.suspects.contains_key(&segment) || self.cleared.contains(&segment)
    }
}
