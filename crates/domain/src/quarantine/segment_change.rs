//! Change of what is believed of a segment.

use crate::dispatch;

/// Change of what is believed of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SegmentChange {
    /// Requests with the segment are refused from now on.
    Quarantined {
        /// The segment.
        segment: dispatch::SegmentId,
        /// Number of crashes that count; 0 if another daemon decided.
        crashes: usize,
    },
    /// An answer to a request with the segment survived: it is not the cause of crashes.
    Cleared(dispatch::SegmentId),
    /// The quarantine has ended; the next crash renews it.
    Released(dispatch::SegmentId),
}
