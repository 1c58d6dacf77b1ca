//! Crash of a worker as all daemons saw it.

use indexmap::IndexMap;

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
    /// Their segments.
    pub suspects: IndexMap<dispatch::SegmentId, SuspectSegment>,
}

impl RecordedCrash {
    /// Records the first report of a crash.
    pub fn new(crash: &WorkerCrash, now_ms: u64) -> Self {
        let (worker, started_unix_ms) = (crash.worker.clone(), crash.started_unix_ms);
        let (requests, suspects) = (0, IndexMap::new());
        let mut recorded = Self { worker, started_unix_ms, at_ms: now_ms, requests, suspects };
        recorded.add_report(crash);
        recorded
    }

    /// Returns whether a report is of this crash.
    pub fn is_reported_by(&self, crash: &WorkerCrash, now_ms: u64) -> bool {
        self.worker == crash.worker
            && self.started_unix_ms == crash.started_unix_ms
            && now_ms.saturating_sub(self.at_ms) < REPORT_SPREAD_MS
    }

    /// Adds the requests of a report.
    pub fn add_report(&mut self, crash: &WorkerCrash) {
        self.requests = self.requests.saturating_add(crash.requests);
        for suspect in &crash.suspects {
            if let Some(seen) = self.suspects.get_mut(&suspect.id) {
                seen.requests = seen.requests.saturating_add(suspect.requests);
                seen.position = seen.position.max(suspect.position);
            } else if self.suspects.len() < MAX_SUSPECTS {
                self.suspects.insert(suspect.id, *suspect);
            }
        }
    }
}
