//! Segment that is sufficiently suspected, while a later one of its requests may be the cause.

/// Time for which the decision waits for a further crash with the later segment. Few requests may reach workers
/// later than 4 s after the fifth crash, and the other daemons must learn of the decision by then.
const MAX_WAIT_MS: u64 = 2_500;
/// Time for which the decision waits if there are further crashes with the later segment, which mostly give
/// sufficient evidence against it before.
const MAX_TOTAL_WAIT_MS: u64 = 7_500;

/// Segment that is sufficiently suspected, while a later one of its requests may be the cause.
#[derive(Clone, Copy, Debug)]
pub(super) struct UndecidedSegment {
    /// Time from which it is undecided.
    pub since_ms: u64,
    /// Most crashes that a later segment is in, and since when.
    part_crashes: usize,
    changed_ms: u64,
}

impl UndecidedSegment {
    /// Creates it when it is first undecided.
    pub fn new(now_ms: u64) -> Self {
        Self { since_ms: now_ms, part_crashes: 0, changed_ms: now_ms }
    }

    /// Records in how many crashes a later segment is.
    pub fn observe(&mut self, part_crashes: usize, now_ms: u64) {
        if part_crashes > self.part_crashes {
            (self.part_crashes, self.changed_ms) = (part_crashes, now_ms);
        }
    }

    /// Returns whether the decision need not wait any longer.
    pub fn has_waited(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.changed_ms) >= MAX_WAIT_MS
            || now_ms.saturating_sub(self.since_ms) >= MAX_TOTAL_WAIT_MS
    }
}
