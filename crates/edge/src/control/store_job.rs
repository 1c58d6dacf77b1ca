//! Jobs for the thread that reads and writes rows of the daemons.

use jasminetack_domain::name;

use crate::store;

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreJob {
    /// Reads the leases, then the holders.
    ReadRows,
    /// Renews this daemon's lease.
    Renew(store::Transaction),
    /// Takes the orders of a worker over.
    Claim(name::WorkerName, store::Transaction),
    /// Notes until when orders of a worker may be carried out late.
    WriteUnansweredOrders(name::WorkerName, store::Transaction),
    /// Removes the holder row of a worker that is gone, or gives up the lease.
    Write(store::Transaction),
}

/// Answer to a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The daemons' rows as of one reading.
    Rows {
        /// The leases, read first.
        leases: Result<store::Listing, store::StoreError>,
        /// The holders.
        holders: Result<store::Listing, store::StoreError>,
        /// When the reading of the leases began.
        sent_ms: u64,
    },
    /// The lease was renewed, or not.
    Renewed(Result<store::Outcome, store::StoreError>, u64),
    /// A worker was taken over, or not.
    Claimed(name::WorkerName, Result<store::Outcome, store::StoreError>),
    /// Late orders of a worker were noted, or not.
    UnansweredOrdersWritten(name::WorkerName, Result<store::Outcome, store::StoreError>),
    /// Rows were written, or not.
    Written(Result<store::Outcome, store::StoreError>),
}
