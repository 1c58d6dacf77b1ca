//! Segment of a prompt.

use super::SegmentId;

/// Segment of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Identifier of the text.
    pub id: SegmentId,
    /// Length in tokens.
    pub tokens: u32,
}

impl PromptSegment {
    /// Returns the segments that other requests may share: all but the last one, which is unique to the
    /// request or its session.
    #[must_use]
    pub fn shared(segments: &[Self]) -> &[Self] {
        segments.split_last().map_or(&[], |(_, shared)| shared)
    }
}
