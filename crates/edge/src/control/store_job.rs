//! Jobs for the thread that reads and writes lease and holder rows.

use jasminetack_domain::name;

use super::quarantine_job::{QuarantineJob, QuarantineReply};
use crate::store;

/// Job on lease and holder rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreJob {
    /// Reads the leases, then the holders.
    ReadRows,
    /// Renews this daemon's lease.
    Renew(store::Transaction),
    /// Claims a worker for this daemon.
    Claim {
        /// The worker.
        worker: name::WorkerName,
        /// Era of the store in which the claim was decided.
        era: u64,
        /// The write.
        transaction: store::Transaction,
    },
    /// Deletes the rows of a worker that left, or releases the lease.
    Write(store::Transaction),
    /// Call on quarantined segments.
    Quarantine(QuarantineJob),
}

/// Result of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// Lease and holder rows.
    Rows {
        /// The leases, read first.
        leases: Result<store::Listing, store::StoreError>,
        /// The holders.
        holders: Result<store::Listing, store::StoreError>,
        /// Time at which the read of the leases started.
        sent_ms: u64,
    },
    /// Result of a renewal, and the time at which it was sent.
    Renewed(Result<store::Outcome, store::StoreError>, u64),
    /// Result of the claim of a worker, and the era of the store in which it was decided.
    Claimed(name::WorkerName, u64, Result<store::Outcome, store::StoreError>),
    /// Result of a write.
    Written(Result<store::Outcome, store::StoreError>),
    /// Result of a call on quarantined segments.
    Quarantine(QuarantineReply),
}
