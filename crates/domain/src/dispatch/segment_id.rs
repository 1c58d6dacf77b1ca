//! Identifier of a segment of a prompt.

use std::fmt;

/// Identifier of the text of a segment; requests with the same text share it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SegmentId(u64);

impl From<u64> for SegmentId {
    fn from(id: u64) -> Self {
        Self(id)
    }
}

impl From<SegmentId> for u64 {
    fn from(id: SegmentId) -> Self {
        id.0
    }
}

impl fmt::Display for SegmentId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}
