//! Crash of a worker as all daemons saw it.

use indexmap::{IndexMap, IndexSet};

use super::{CrashReport, SuspectSegment, WorkerCrash};
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
    pub worker: name::WorkerName,
    started_unix_ms: u64,
    /// Other daemons that have reported it.
    reported_by: IndexSet<name::HostName>,
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
            reported_by: IndexSet::new(),
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
        self.is_of_process(crash) && now_ms.saturating_sub(self.at_ms) < REPORT_SPREAD_MS
    }

    /// Returns whether a report is of a crash of the same process, as far as its start is known.
    pub fn is_of_process(&self, crash: &WorkerCrash) -> bool {
        self.worker == crash.worker && self.started_unix_ms == crash.started_unix_ms
    }

    /// Returns whether another daemon has reported the crash.
    pub fn is_known_from(&self, from: &name::HostName) -> bool {
        self.reported_by.contains(from)
    }

    /// Adds the requests of this daemon.
    pub fn add_own(&mut self, crash: &WorkerCrash) {
        self.own_requests = self.own_requests.saturating_add(crash.requests);
        self.add(crash);
    }

    /// Adds the requests of another daemon.
    pub fn add_report(&mut self, report: &CrashReport) {
        self.reported_by.insert(report.from.clone());
        self.add(&report.crash);
    }

    fn add(&mut self, crash: &WorkerCrash) {
        self.requests = self.requests.saturating_add(crash.requests);
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
