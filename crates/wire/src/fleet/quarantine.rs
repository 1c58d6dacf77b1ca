//! Segments of prompts on which workers crash.

use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use jasminetack_domain::quarantine;
use prost::Message;

/// Crash of a worker, as the sender saw it.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerCrash {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Start of the process that crashed, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub started_unix_ms: u64,
    /// Segments of the sender's requests that may be the cause.
    #[prost(message, repeated, tag = "3")]
    pub suspects: Vec<SuspectSegment>,
}

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

/// Suspected segment with an answer that survived.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ClearedSegment {
    /// The segment.
    #[prost(fixed64, tag = "1")]
    pub segment: u64,
    /// Time since the answer started.
    #[prost(uint64, tag = "2")]
    pub answer_age_ms: u64,
}

impl From<&quarantine::WorkerCrash> for WorkerCrash {
    fn from(crash: &quarantine::WorkerCrash) -> Self {
        Self {
            worker: crash.worker.to_string(),
            started_unix_ms: crash.started_unix_ms,
            suspects: crash.suspects.iter().map(SuspectSegment::from).collect(),
        }
    }
}

impl From<&WorkerCrash> for quarantine::WorkerCrash {
    fn from(crash: &WorkerCrash) -> Self {
        Self {
            worker: name::WorkerName::from(crash.worker.as_str()),
            started_unix_ms: crash.started_unix_ms,
            suspects: crash.suspects.iter().map(quarantine::SuspectSegment::from).collect(),
        }
    }
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
