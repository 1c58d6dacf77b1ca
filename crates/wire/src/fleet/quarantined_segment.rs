//! Segment whose requests are refused.

use jasminetack_domain::dispatch;
use jasminetack_domain::quarantine;
use prost::Message;

/// Segment whose requests the sender refuses.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct QuarantinedSegment {
    /// The segment.
    #[prost(fixed64, tag = "1")]
    pub segment: u64,
    /// Time since the first crash that counted.
    #[prost(uint64, tag = "2")]
    pub first_crash_age_ms: u64,
    /// Time for which its requests are still refused.
    #[prost(uint64, tag = "3")]
    pub remaining_ms: u64,
    /// Length of the quarantine.
    #[prost(uint64, tag = "4")]
    pub duration_ms: u64,
}

impl QuarantinedSegment {
    /// Encodes a quarantine.
    #[must_use]
    pub fn new(segment: dispatch::SegmentId, verdict: quarantine::PeerVerdict) -> Self {
        let quarantine::PeerVerdict { first_crash_age_ms, remaining_ms, duration_ms } = verdict;
        Self { segment: segment.into(), first_crash_age_ms, remaining_ms, duration_ms }
    }
}

impl From<&QuarantinedSegment> for quarantine::PeerVerdict {
    fn from(quarantined: &QuarantinedSegment) -> Self {
        let QuarantinedSegment { first_crash_age_ms, remaining_ms, duration_ms, .. } = *quarantined;
        Self { first_crash_age_ms, remaining_ms, duration_ms }
    }
}
