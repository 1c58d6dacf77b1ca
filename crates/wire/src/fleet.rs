//! Datagrams between edge daemons, and the rows that they keep in the store.
//!
//! Each part of a datagram replaces the value that its sender sent before for the same item, so lost
//! datagrams are not retransmitted.

mod base_load_limit;
mod cleared_segment;
mod leaving_worker;
mod quarantine_row;
mod quarantined_segment;
mod rows;
mod slot_credits;
mod suspect_segment;
mod table_state;
mod team_quota;
mod worker_crash;
mod worker_limit;
mod worker_load;

use std::net::SocketAddr;

use jasminetack_domain::adapter;
use jasminetack_domain::dispatch;
use jasminetack_domain::locality;
use jasminetack_domain::name;
use jasminetack_domain::placement;
use prost::Message;
use snafu::ResultExt;

pub use base_load_limit::BaseLoadLimit;
pub use cleared_segment::ClearedSegment;
pub use leaving_worker::LeavingWorker;
pub use quarantine_row::QuarantineRow;
pub use quarantined_segment::QuarantinedSegment;
pub use rows::{Lease, WorkerHolder};
pub use slot_credits::{ForeignCalls, SlotAnswer, SlotReport, SlotRequest, SlotReturn, SlotUse};
pub use suspect_segment::SuspectSegment;
pub use table_state::TableState;
pub use team_quota::{TeamGrant, TeamLoan, TeamShareRequest};
pub use worker_crash::WorkerCrash;
pub use worker_limit::WorkerLimit;
pub use worker_load::WorkerLoad;

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// Host name of the sender.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Start time of the sending process, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub started_unix_ms: u64,
    /// Increases with each datagram of the process.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// State of the sender.
    #[prost(message, optional, tag = "4")]
    pub state: Option<DaemonState>,
    /// Requests to load adapters on workers that the receiver controls.
    #[prost(message, repeated, tag = "5")]
    pub load_requests: Vec<LoadRequest>,
    /// Rows of the operator table that the sender has just read.
    #[prost(message, repeated, tag = "6")]
    pub operator_rows: Vec<Row>,
    /// Rows of the workers table that the sender has just read.
    #[prost(message, repeated, tag = "7")]
    pub workers_rows: Vec<Row>,
    /// Adapters whose use by the sender started or stopped on workers that the receiver controls.
    #[prost(message, repeated, tag = "8")]
    pub use_changes: Vec<UseChange>,
    /// All adapters that the sender uses on workers that the receiver controls, by worker.
    #[prost(message, repeated, tag = "9")]
    pub uses: Vec<WorkerUses>,
    /// Crashes of workers that the sender has noticed.
    #[prost(message, repeated, tag = "10")]
    pub crashes: Vec<WorkerCrash>,
    /// Limits of workers that the sender knows.
    #[prost(message, repeated, tag = "11")]
    pub limits: Vec<WorkerLimit>,
    /// Workers that stated lately that they are leaving.
    #[prost(message, repeated, tag = "12")]
    pub leaving: Vec<LeavingWorker>,
    /// Shares in the rates of teams that the sender lends to the receiver.
    #[prost(message, repeated, tag = "13")]
    pub team_loans: Vec<TeamLoan>,
    /// Requests for shares in the rates of teams.
    #[prost(message, repeated, tag = "14")]
    pub team_share_requests: Vec<TeamShareRequest>,
    /// Responses to the receiver's requests for shares.
    #[prost(message, repeated, tag = "15")]
    pub team_grants: Vec<TeamGrant>,
    /// Requests for slots that the receiver assigns.
    #[prost(message, repeated, tag = "16")]
    pub slot_requests: Vec<SlotRequest>,
    /// Answers to requests for slots of the receiver's process.
    #[prost(message, repeated, tag = "17")]
    pub slot_answers: Vec<SlotAnswer>,
    /// What the sender knows of the slots that the receiver assigns.
    #[prost(message, repeated, tag = "18")]
    pub slot_reports: Vec<SlotReport>,
}

/// Adapters that the sender uses on one worker.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerUses {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Adapters in use now, or used since the previous report.
    #[prost(message, repeated, tag = "2")]
    pub adapters: Vec<AdapterUse>,
}

/// Start or stop of the sender's use of an adapter on a worker.
#[derive(Clone, PartialEq, Message)]
pub struct UseChange {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// The adapter.
    #[prost(string, tag = "2")]
    pub adapter: String,
    /// Whether a request of the sender uses the adapter now.
    #[prost(bool, tag = "3")]
    pub is_used: bool,
}

/// A table row.
#[derive(Clone, PartialEq, Message)]
pub struct Row {
    /// Key of the row.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Value; `None` when the row was deleted.
    #[prost(bytes = "vec", optional, tag = "2")]
    pub value: Option<Vec<u8>>,
    /// Version of the transaction that wrote the row.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// State of a daemon.
#[derive(Clone, PartialEq, Message)]
pub struct DaemonState {
    /// Address that receives datagrams.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Region.
    #[prost(string, tag = "2")]
    pub region: String,
    /// Failure domain.
    #[prost(string, tag = "3")]
    pub failure_domain: String,
    /// Whether the daemon is shutting down.
    #[prost(bool, tag = "4")]
    pub is_leaving: bool,
    /// Load that the daemon puts on workers; ignored unless `has_loads` is set.
    #[prost(message, repeated, tag = "5")]
    pub loads: Vec<WorkerLoad>,
    /// Time until the daemon sends its next state to the receiver.
    #[prost(uint64, tag = "10")]
    pub interval_ms: u64,
    /// Whether `loads` is present and replaces the loads sent before.
    #[prost(bool, tag = "9")]
    pub has_loads: bool,
    /// Whether `worker_statuses` is present and replaces the statuses sent before.
    #[prost(bool, tag = "11")]
    pub has_worker_statuses: bool,
    /// Workers that the daemon controls; ignored unless `has_worker_statuses` is set.
    #[prost(message, repeated, tag = "6")]
    pub worker_statuses: Vec<WorkerStatus>,
    /// State of the daemon's copy of the operator table.
    #[prost(message, optional, tag = "7")]
    pub operator: Option<TableState>,
    /// State of the daemon's copy of the workers table.
    #[prost(message, optional, tag = "8")]
    pub workers: Option<TableState>,
    /// Latest measurement of the weight store's limit that the sender knows.
    #[prost(message, optional, tag = "12")]
    pub base_load_limit: Option<BaseLoadLimit>,
    /// Segments whose requests the sender refuses.
    #[prost(message, repeated, tag = "13")]
    pub quarantined: Vec<QuarantinedSegment>,
    /// Suspected segments that the sender has lately found not to be the cause of crashes.
    #[prost(message, repeated, tag = "14")]
    pub cleared: Vec<ClearedSegment>,
}

/// The sender's use of one adapter.
#[derive(Clone, PartialEq, Message)]
pub struct AdapterUse {
    /// The adapter.
    #[prost(string, tag = "1")]
    pub adapter: String,
    /// Requests in flight that use the adapter.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
    /// Requests started since the previous report.
    #[prost(uint32, tag = "3")]
    pub started: u32,
}

/// State of a worker that the sender controls.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerStatus {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Fencing token under which the sender controls the worker.
    #[prost(uint64, tag = "2")]
    pub fencing_token: u64,
    /// Whether the worker has its base model loaded.
    #[prost(bool, tag = "3")]
    pub has_base_model: bool,
    /// Adapters that are loaded or loading.
    #[prost(message, repeated, tag = "4")]
    pub adapters: Vec<AdapterStatus>,
    /// Adapters that wait for a free slot or for another load to finish.
    #[prost(uint32, tag = "5")]
    pub waiting_loads: u32,
    /// Whether the worker is loading its base model.
    #[prost(bool, tag = "6")]
    pub is_loading_base_model: bool,
    /// Predicted time until a further adapter load starts.
    #[prost(uint32, tag = "7")]
    pub load_wait_ms: u32,
}

/// State of an adapter on a worker.
#[derive(Clone, PartialEq, Message)]
pub struct AdapterStatus {
    /// The adapter.
    #[prost(string, tag = "1")]
    pub adapter: String,
    /// Version of the adapter.
    #[prost(uint32, tag = "2")]
    pub version: u32,
    /// Whether the adapter is still loading.
    #[prost(bool, tag = "3")]
    pub is_loading: bool,
}

/// Request to load an adapter on a worker.
#[derive(Clone, PartialEq, Message)]
pub struct LoadRequest {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// The adapter.
    #[prost(string, tag = "2")]
    pub adapter: String,
    /// Version of the adapter; 0 for the newest.
    #[prost(uint32, tag = "3")]
    pub version: u32,
    /// Whether the worker responded that the adapter is not loaded.
    #[prost(bool, tag = "4")]
    pub is_missing: bool,
    /// Whether this is the model request's first load request for this worker.
    #[prost(bool, tag = "5")]
    pub is_new: bool,
}

/// Why a received message or stored row is not valid.
#[derive(Debug, snafu::Snafu)]
pub enum MessageError {
    /// The bytes are not a valid message.
    #[snafu(display("invalid message: {source}"))]
    Decode {
        /// Cause.
        source: prost::DecodeError,
    },
    /// The address is not `IP:PORT`.
    #[snafu(display("invalid address {address:?}: {source}"))]
    Address {
        /// Address found.
        address: String,
        /// Cause.
        source: std::net::AddrParseError,
    },
}

impl WorkerUses {
    /// Encodes the use of adapters on a worker.
    #[must_use]
    pub fn new(
        worker: &name::WorkerName,
        adapters: &[(name::AdapterName, dispatch::AdapterUse)],
    ) -> Self {
        let adapters = adapters.iter().map(|(adapter, adapter_use)| AdapterUse {
            adapter: adapter.to_string(),
            in_flight: adapter_use.in_flight,
            started: adapter_use.started,
        });
        Self { worker: worker.to_string(), adapters: adapters.collect() }
    }
}

impl From<&AdapterUse> for dispatch::AdapterUse {
    fn from(adapter_use: &AdapterUse) -> Self {
        Self { in_flight: adapter_use.in_flight, started: adapter_use.started }
    }
}

impl WorkerStatus {
    /// Encodes the state of a worker that the sender controls.
    #[must_use]
    pub fn new(
        worker: &name::WorkerName,
        fencing_token: u64,
        summary: &placement::Summary,
    ) -> Self {
        let adapters = summary.held.iter().map(|held| AdapterStatus {
            adapter: held.adapter.name().to_string(),
            version: held.adapter.version(),
            is_loading: held.is_loading,
        });
        Self {
            worker: worker.to_string(),
            fencing_token,
            has_base_model: summary.has_base_model,
            adapters: adapters.collect(),
            waiting_loads: summary.waiting_loads,
            load_wait_ms: summary.load_wait_ms,
            is_loading_base_model: summary.is_loading_base_model,
        }
    }
}

impl From<&WorkerStatus> for placement::Summary {
    fn from(status: &WorkerStatus) -> Self {
        let held = status.adapters.iter().map(|status| placement::HeldAdapter {
            adapter: adapter::AdapterRef::new(
                name::AdapterName::from(status.adapter.as_str()),
                status.version,
            ),
            is_loading: status.is_loading,
        });
        Self {
            has_base_model: status.has_base_model,
            held: held.collect(),
            waiting_loads: status.waiting_loads,
            load_wait_ms: status.load_wait_ms,
            is_loading_base_model: status.is_loading_base_model,
        }
    }
}

impl LoadRequest {
    /// Returns the name and version of the requested adapter.
    #[must_use]
    pub fn adapter(&self) -> adapter::AdapterRef {
        adapter::AdapterRef::new(name::AdapterName::from(self.adapter.as_str()), self.version)
    }
}

/// Parses an `IP:PORT` address.
///
/// # Errors
///
/// Fails when the text is not an IP address with a port.
pub fn parse_address(address: &str) -> Result<SocketAddr, MessageError> {
    address.parse().context(AddressSnafu { address })
}

/// Creates a locality from the names of its region and failure domain.
#[must_use]
pub fn new_locality(region: &str, failure_domain: &str) -> locality::Locality {
    locality::Locality::new(
        name::RegionName::from(region),
        name::FailureDomainName::from(failure_domain),
    )
}
