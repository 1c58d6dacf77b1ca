//! Calls to the store on quarantined segments.

use jasminetack_domain::dispatch;

use crate::store;
use crate::store::MetadataStore;

/// Call to the store on quarantined segments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineJob {
    /// Reads all rows.
    Read,
    /// Writes or deletes the row of a segment.
    Write(dispatch::SegmentId, store::Transaction),
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineReply {
    /// The rows, and the time at which the call was sent.
    Rows(Result<store::Listing, store::StoreError>, u64),
    /// Result of writing or deleting the row of a segment; whether it was deleted.
    Written(dispatch::SegmentId, bool, Result<store::Outcome, store::StoreError>),
}

impl QuarantineJob {
    /// Executes the call.
    pub fn call<Store>(self, store: &Store, sent_ms: u64) -> QuarantineReply
    where
        Store: MetadataStore,
    {
        match self {
            Self::Read => QuarantineReply::Rows(store.list(store::Table::Quarantine), sent_ms),
            Self::Write(segment, transaction) => {
                let is_deletion = transaction.writes.iter().all(|write| write.value.is_none());
                QuarantineReply::Written(segment, is_deletion, store.transact(&transaction))
            }
        }
    }
}
