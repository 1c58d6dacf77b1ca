//! Parts of a response that were forwarded, and the longest pause between them.

/// Forwarded parts of a response; times are counted from the receipt of the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ForwardedParts {
    /// Number of parts.
    pub count: u32,
    /// Longest pause before a part, except the first one.
    pub longest_gap_ms: u64,
    /// Time at which that pause ended.
    pub longest_gap_at_ms: u64,
    last_ms: u64,
}

impl ForwardedParts {
    /// Records a part.
    pub fn record(&mut self, elapsed_ms: u64) {
        let gap_ms = elapsed_ms.saturating_sub(self.last_ms);
        if self.count > 0 && gap_ms > self.longest_gap_ms {
            self.longest_gap_ms = gap_ms;
            self.longest_gap_at_ms = elapsed_ms;
        }
        self.count += 1;
        self.last_ms = elapsed_ms;
    }
}
