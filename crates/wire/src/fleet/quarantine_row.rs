//! Row of a quarantined segment in the store.

use jasminetack_domain::dispatch;
use jasminetack_domain::quarantine;
use prost::Message;
use snafu::ResultExt;

use super::{DecodeSnafu, MessageError};

/// Quarantine of a segment; the key of the row is the segment in hexadecimal.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct QuarantineRow {
    /// The segment.
    #[prost(fixed64, tag = "1")]
    pub segment: u64,
    /// Store clock time of the first crash that counted.
    #[prost(uint64, tag = "2")]
    pub first_crash_store_ms: u64,
    /// Store clock time until which requests with the segment are refused.
    #[prost(uint64, tag = "3")]
    pub until_store_ms: u64,
    /// Length of the quarantine.
    #[prost(uint64, tag = "4")]
    pub duration_ms: u64,
}

impl QuarantineRow {
    /// Encodes a quarantine.
    #[must_use]
    pub fn new(segment: dispatch::SegmentId, verdict: quarantine::StoredVerdict) -> Self {
        let quarantine::StoredVerdict { first_crash_store_ms, until_store_ms, duration_ms } =
            verdict;
        Self { segment: segment.into(), first_crash_store_ms, until_store_ms, duration_ms }
    }

    /// Decodes the row of a segment.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a quarantine.
    pub fn decode_row(
        bytes: &[u8],
    ) -> Result<(dispatch::SegmentId, quarantine::StoredVerdict), MessageError> {
        let Self { segment, first_crash_store_ms, until_store_ms, duration_ms } =
            Self::decode(bytes).context(DecodeSnafu)?;
        let verdict =
            quarantine::StoredVerdict { first_crash_store_ms, until_store_ms, duration_ms };
        Ok((segment.into(), verdict))
    }
}
