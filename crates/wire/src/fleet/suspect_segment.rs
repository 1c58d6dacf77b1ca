//! Segment that may be the cause of a crash.

use jasminetack_domain::quarantine;
use prost::Message;

/// Segment that may be the cause of a crash.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SuspectSegment {
    /// The segment.
    #[prost(fixed64, tag = "1")]
    pub segment: u64,
    /// Number of requests with it.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Position in their prompts.
    #[prost(uint32, tag = "3")]
    pub position: u32,
}

impl From<&quarantine::SuspectSegment> for SuspectSegment {
    fn from(suspect: &quarantine::SuspectSegment) -> Self {
        let quarantine::SuspectSegment { id, requests, position } = *suspect;
        Self { segment: id.into(), requests, position }
    }
}

impl From<&SuspectSegment> for quarantine::SuspectSegment {
    fn from(suspect: &SuspectSegment) -> Self {
        let SuspectSegment { segment, requests, position } = *suspect;
        Self { id: segment.into(), requests, position }
    }
}
