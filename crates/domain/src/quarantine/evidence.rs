//! What speaks against one segment.

use crate::dispatch;

/// Crashes within this time of each other may have one cause, such as the loss of a rack, and count
/// once.
const COMMON_CAUSE_MS: u64 = 150;

/// Crashes of workers that had requests with one segment.
#[derive(Clone, Debug)]
pub(super) struct Evidence {
    pub segment: dispatch::SegmentId,
    /// Times of the crashes, ascending.
    pub crashes_ms: Vec<u64>,
    /// Requests with the segment on the crashed workers.
    pub requests: u32,
    /// Position of the segment in their prompts.
    pub position: u32,
}

impl Evidence {
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
