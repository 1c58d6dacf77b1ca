//! What speaks against one segment.

use crate::dispatch;

/// Crashes within this time of each other may have one cause, such as the loss of a rack, and count
/// once.
const COMMON_CAUSE_MS: u64 = 150;

/// Weight of a crash without the segment against one with it: requests happen to be on workers that crash
/// for other reasons, but two segments may also crash workers at the same time.
const OTHER_CRASH_WEIGHT: f64 = 0.5;

/// Crashes of workers that had requests with one segment.
#[derive(Clone, Debug)]
pub(super) struct Evidence {
    pub segment: dispatch::SegmentId,
    /// Times of the crashes, ascending.
    pub crashes_ms: Vec<u64>,
    /// Crashes without another known cause from the first of these on, with or without the segment.
    pub all_crashes: usize,
    /// Requests with the segment on the crashed workers.
    pub requests: u32,
    /// Requests in all of these crashes, with or without the segment.
    pub all_requests: u32,
    /// Position of the segment in their prompts.
    pub position: u32,
}

impl Evidence {
    /// Creates evidence without crashes.
    pub fn new(segment: dispatch::SegmentId, all_crashes: usize, all_requests: u32) -> Self {
        let (crashes_ms, requests, position) = (Vec::new(), 0, 0);
        Self { segment, crashes_ms, all_crashes, requests, all_requests, position }
    }

    /// Predicts how many of a number of surviving answers would have the segment if it were no cause: its
    /// share of them is that of the requests on the crashed workers.
    pub fn expected_answers(&self, answers: usize) -> f64 {
        answers as f64 * f64::from(self.requests) / f64::from(self.all_requests.max(1))
    }

    /// Returns the weight of the crashes with the segment less that of the others.
    pub fn weight(&self) -> f64 {
        let crashes = self.crashes_ms.len();
        crashes as f64 - (self.all_crashes - crashes) as f64 * OTHER_CRASH_WEIGHT
    }

    /// Returns the time of the first crash.
    pub fn first_crash_ms(&self) -> u64 {
        self.crashes_ms.first().copied().unwrap_or(u64::MAX)
    }

    /// Returns the number of crashes that cannot have had one common cause.
    pub fn separate_crashes(&self) -> usize {
        let mut count = 0;
        let mut counted_ms = None;
        for &crash_ms in &self.crashes_ms {
            if counted_ms.is_some_and(|counted_ms| crash_ms < counted_ms + COMMON_CAUSE_MS) {
                continue;
            }
            counted_ms = Some(crash_ms);
            count += 1;
        }
        count
    }

    /// Orders evidence by how well the segment explains the crashes: it was there in more of them, in
    /// fewer requests, and later in their prompts.
    pub fn rank(&self) -> (usize, std::cmp::Reverse<u32>, u32, dispatch::SegmentId) {
        (self.crashes_ms.len(), std::cmp::Reverse(self.requests), self.position, self.segment)
    }
}
