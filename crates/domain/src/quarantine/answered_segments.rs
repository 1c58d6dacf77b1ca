//! Segments with surviving answers.

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use crate::dispatch;

/// Segments after which the older half is dropped.
const MAX_RECENT: usize = 4_096;

/// Start of the latest surviving answer by segment, for the most recently answered segments.
#[derive(Clone, Debug, Default)]
pub(super) struct AnsweredSegments {
    recent: IndexMap<dispatch::SegmentId, u64, FxBuildHasher>,
    older: IndexMap<dispatch::SegmentId, u64, FxBuildHasher>,
}

impl AnsweredSegments {
    /// Records an answer that survived.
    pub fn record(&mut self, segment: dispatch::SegmentId, started_ms: u64) {
        if self.recent.len() >= MAX_RECENT {
            self.older = std::mem::take(&mut self.recent);
        }
        let latest_ms = self.recent.entry(segment).or_default();
        *latest_ms = started_ms.max(*latest_ms);
    }

    /// Returns the start of the latest surviving answer.
    pub fn latest_ms(&self, segment: dispatch::SegmentId) -> Option<u64> {
        self.recent.get(&segment).or_else(|| self.older.get(&segment)).copied()
    }
}
