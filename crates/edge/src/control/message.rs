//! Messages to the control thread.

use jasminetack_domain::adapter;
use jasminetack_domain::name;
use jasminetack_domain::placement;
use jasminetack_wire::fleet;
use tokio::sync::oneshot;

use super::feed::FeedEvent;
use super::store_job::StoreReply;
use crate::dialect;
use crate::store;

/// A message to the control thread.
#[derive(Debug)]
pub enum Message {
    /// News of a table, from a reading that began at a time.
    TableRead(store::Table, FeedEvent, u64),
    /// The store answered a job.
    StoreReply(StoreReply),
    /// Another daemon sent a datagram.
    Datagram(Box<fleet::Datagram>),
    /// A request of this daemon needs an adapter at a worker.
    LoadRequest {
        /// The worker.
        worker: name::WorkerName,
        /// The adapter version; 0 for the newest.
        adapter: adapter::AdapterRef,
        /// Whether the worker answered that it does not hold the adapter.
        is_missing: bool,
        /// Whether the request has not asked before.
        is_new: bool,
    },
    /// A request of this daemon is the first to use an adapter at a worker, or was the last.
    AdapterUse {
        /// The worker.
        worker: name::WorkerName,
        /// The adapter.
        adapter: name::AdapterName,
        /// Whether it is in use now.
        is_used: bool,
    },
    /// A worker answered an order.
    OrderResult {
        /// The worker.
        worker: name::WorkerName,
        /// Fencing token of the order.
        fencing_token: u64,
        /// The order.
        order: placement::Order,
        /// What became of it.
        result: placement::OrderResult,
    },
    /// A worker reported, or could not be asked.
    WorkerReport {
        /// The worker.
        worker: name::WorkerName,
        /// Fencing token of the hold for which it was asked.
        fencing_token: u64,
        /// The report.
        report: Option<dialect::WorkerReport>,
    },
    /// The process is told to stop.
    Shutdown,
    /// The last request has been answered: the lease is given up, and the sender is told.
    ReleaseLease(oneshot::Sender<()>),
}
