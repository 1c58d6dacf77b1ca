//! Numbers of surviving answers over time.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use rustc_hash::FxBuildHasher;

use crate::dispatch;

/// Resolution of the counts.
const BUCKET_MS: u64 = 100;
/// Buckets that are kept: two minutes. Forgotten answers only weaken the evidence against a segment.
const MAX_BUCKETS: usize = 1_200;
/// First segments that are told apart in one bucket; answers with further ones are not counted.
const MAX_FIRST_SEGMENTS: usize = 64;

/// Numbers of surviving answers by their start and by the first segment of their prompts.
///
/// The first segment tells which answers are comparable: other services and callers send other ones.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerCounts {
    /// Index of the first bucket since time zero.
    first: u64,
    buckets: VecDeque<IndexMap<dispatch::SegmentId, u32, FxBuildHasher>>,
}

impl AnswerCounts {
    /// Counts an answer.
    pub fn record(&mut self, first_segment: dispatch::SegmentId, started_ms: u64) {
        let index = started_ms / BUCKET_MS;
        if self.buckets.is_empty() || index >= self.first + 2 * MAX_BUCKETS as u64 {
            self.buckets.clear();
            self.first = index;
        }
        if index < self.first {
            let missing = (self.first - index) as usize;
            if missing + self.buckets.len() > MAX_BUCKETS {
                return;
            }
            for _ in 0..missing {
                self.buckets.push_front(IndexMap::default());
            }
            self.first = index;
        }
        while self.first + self.buckets.len() as u64 <= index {
            self.buckets.push_back(IndexMap::default());
        }
        while self.buckets.len() > MAX_BUCKETS {
            self.buckets.pop_front();
            self.first += 1;
        }
        let bucket = &mut self.buckets[(index - self.first) as usize];
        if bucket.len() < MAX_FIRST_SEGMENTS || bucket.contains_key(&first_segment) {
            *bucket.entry(first_segment).or_default() += 1;
        }
    }

    /// Returns the number of answers with one of the first segments that started after `after_ms` and not
    /// later than `until_ms`, as far as whole buckets lie after `after_ms`.
    pub fn count(
        &self,
        first_segments: &IndexSet<dispatch::SegmentId>,
        after_ms: Option<u64>,
        until_ms: u64,
    ) -> u64 {
        let from = after_ms.map_or(0, |after_ms| after_ms / BUCKET_MS + 1).max(self.first);
        let until = (until_ms / BUCKET_MS + 1).saturating_sub(self.first) as usize;
        let until = until.min(self.buckets.len());
        let from = (from - self.first) as usize;
        if from >= until {
            return 0;
        }
        let of_bucket = |bucket: &IndexMap<dispatch::SegmentId, u32, FxBuildHasher>| {
            // Crashed workers may have had hundreds of first segments, and most buckets have few or none.
            if bucket.len() < first_segments.len() {
                let counts = bucket.iter().filter(|(segment, _)| first_segments.contains(*segment));
                return counts.map(|(_, count)| u64::from(*count)).sum::<u64>();
            }
            let counts = first_segments.iter().filter_map(|segment| bucket.get(segment));
            counts.map(|count| u64::from(*count)).sum()
        };
        self.buckets.range(from..until).map(of_bucket).sum()
    }
}
