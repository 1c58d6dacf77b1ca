//! Segment of requests that a crashed worker was answering.

use crate::dispatch;

/// Segment of requests whose answers a crashed worker had not started, or had only just started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectSegment {
    /// The segment.
    pub id: dispatch::SegmentId,
    /// Number of these requests.
    pub requests: u32,
    /// Position in their prompts; requests that share a later segment mostly share the earlier ones.
    pub position: u32,
}
