//! Messages to the control thread.

use jasminetack_domain::adapter;
use jasminetack_domain::name;
use jasminetack_domain::placement;
use jasminetack_domain::quarantine;
use jasminetack_domain::request_limit;
use jasminetack_domain::slot_credit;
use jasminetack_wire::fleet;
use tokio::sync::oneshot;

use super::feed::FeedEvent;
use super::slot_ask::SlotAsk;
use super::store_job::StoreReply;
use crate::dialect;
use crate::store;

/// Message to the control thread.
#[derive(Debug)]
pub enum Message {
    /// Result of a table read, and the time at which the read started.
    TableRead(store::Table, FeedEvent, u64),
    /// Result of a store job.
    StoreReply(StoreReply),
    /// Datagram from another daemon.
    Datagram(Box<fleet::Datagram>),
    /// A request of this daemon needs an adapter on a worker.
    LoadRequest {
        /// The worker.
        worker: name::WorkerName,
        /// Adapter and version; version 0 stands for the newest.
        adapter: adapter::AdapterRef,
        /// Whether the worker responded that the adapter is not loaded.
        is_missing: bool,
        /// Whether this is the request's first load request for the worker.
        is_new: bool,
    },
    /// This daemon started or stopped using an adapter on a worker.
    AdapterUse {
        /// The worker.
        worker: name::WorkerName,
        /// The adapter.
        adapter: name::AdapterName,
        /// Whether a request of this daemon uses the adapter now.
        is_used: bool,
    },
    /// A worker crashed while it served requests of this daemon.
    WorkerCrashed(quarantine::WorkerCrash),
    /// Answers did not crash their workers.
    AnswersSurvived(Vec<quarantine::SurvivedAnswer>),
    /// A worker stated in a response that it is leaving.
    WorkerLeaving {
        /// The worker.
        worker: name::WorkerName,
        /// Start of the worker process in milliseconds since the Unix epoch.
        started_unix_ms: u64,
    },
    /// A response changed what is known of the limit of a worker.
    LimitChanged {
        /// The worker.
        worker: name::WorkerName,
        /// The change.
        change: request_limit::LimitChange,
    },
    /// A request waits for tokens of its team.
    TeamTokensNeeded,
    /// Result of an order.
    OrderResult {
        /// The worker.
        worker: name::WorkerName,
        /// Fencing token with which the order was sent.
        fencing_token: u64,
        /// The order.
        order: placement::Order,
        /// Its result.
        result: placement::OrderResult,
    },
    /// Result of requesting a report from a worker.
    WorkerReport {
        /// The worker.
        worker: name::WorkerName,
        /// Fencing token of the assignment for which the report was requested.
        fencing_token: u64,
        /// The report; `None` if the worker sent no valid one.
        report: Option<dialect::WorkerReport>,
    },
    /// A call needs a slot.
    SlotAsked(Box<SlotAsk>),
    /// The broker did not answer the request with this number in time.
    SlotUnanswered(u64),
    /// A call is sent to a worker that this daemon chose by itself.
    SlotCallStarted {
        /// Number of the call.
        number: u64,
        /// Service and region of the worker.
        pool: slot_credit::PoolKey,
        /// The worker.
        worker: name::WorkerName,
    },
    /// A call ended, or a request for a slot was given up.
    SlotCallEnded {
        /// Number of the call.
        number: u64,
        /// How it ended.
        end: slot_credit::CallEnd,
    },
    /// The process received a termination signal.
    Shutdown,
    /// The last request has been answered: release the lease and notify the sender.
    ReleaseLease(oneshot::Sender<()>),
}

impl Message {
    /// Returns whether the message is about nothing but slots of services; datagrams with messages of
    /// brokers contain nothing else.
    pub(super) fn concerns_slots(&self) -> bool {
        match self {
            Self::SlotAsked(_)
            | Self::SlotUnanswered(_)
            | Self::SlotCallStarted { .. }
            | Self::SlotCallEnded { .. } => true,
            Self::Datagram(datagram) => datagram.concerns_slots(),
            _ => false,
        }
    }
}
