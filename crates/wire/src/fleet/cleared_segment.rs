//! Suspected segment with an answer that survived.

use prost::Message;

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
