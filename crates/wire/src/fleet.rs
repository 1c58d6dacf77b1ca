//! Datagrams between daemons that send straight to workers, and their rows in the store.
//!
//! Each part of a datagram replaces what its sender said of the same thing before, so a lost one needs no
//! repair.

mod rows;

use std::net::SocketAddr;

use jasminetack_domain::adapter;
use jasminetack_domain::dispatch;
use jasminetack_domain::locality;
use jasminetack_domain::name;
use jasminetack_domain::placement;
use prost::Message;
use snafu::ResultExt;

pub use rows::{Holder, LateOrders, Lease};

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// Daemon that sends.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Start of its process in milliseconds since 1970.
    #[prost(uint64, tag = "2")]
    pub started_unix_ms: u64,
    /// Rises with each datagram of the process.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// State of the sender.
    #[prost(message, optional, tag = "4")]
    pub state: Option<State>,
    /// Adapters that the receiver is asked to load.
    #[prost(message, repeated, tag = "5")]
    pub demands: Vec<Demand>,
    /// Rows of the operator's table that the sender has just read.
    #[prost(message, repeated, tag = "6")]
    pub operator_rows: Vec<Row>,
    /// Rows of the workers' table that the sender has just read.
    #[prost(message, repeated, tag = "7")]
    pub workers_rows: Vec<Row>,
    /// Adapters that have come into use at workers of the receiver, or gone out of use.
    #[prost(message, repeated, tag = "8")]
    pub use_changes: Vec<UseChange>,
    /// All adapters that the sender uses at workers of the receiver, by worker.
    #[prost(message, repeated, tag = "9")]
    pub uses: Vec<WorkerUses>,
}

/// Adapters that the sender uses at a worker.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerUses {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Adapters in use, or used since the last datagram of this kind.
    #[prost(message, repeated, tag = "2")]
    pub adapters: Vec<AdapterUse>,
}

/// Change of whether the sender uses an adapter at a worker.
#[derive(Clone, PartialEq, Message)]
pub struct UseChange {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// The adapter.
    #[prost(string, tag = "2")]
    pub adapter: String,
    /// Whether a request uses it now.
    #[prost(bool, tag = "3")]
    pub is_used: bool,
}

/// Row of a table.
#[derive(Clone, PartialEq, Message)]
pub struct Row {
    /// Key of the row.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Content; missing when the row was removed.
    #[prost(bytes = "vec", optional, tag = "2")]
    pub value: Option<Vec<u8>>,
    /// Version of the transaction that wrote it.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// State of a daemon.
#[derive(Clone, PartialEq, Message)]
pub struct State {
    /// Address for datagrams.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Region.
    #[prost(string, tag = "2")]
    pub region: String,
    /// Failure domain.
    #[prost(string, tag = "3")]
    pub failure_domain: String,
    /// Whether the daemon shuts down.
    #[prost(bool, tag = "4")]
    pub is_leaving: bool,
    /// Load that it puts on workers; meaningful only with `has_loads`.
    #[prost(message, repeated, tag = "5")]
    pub loads: Vec<Load>,
    /// Time until the receiver gets the next state.
    #[prost(uint64, tag = "10")]
    pub interval_ms: u64,
    /// Whether the datagram replaces what the sender said of its load.
    #[prost(bool, tag = "9")]
    pub has_loads: bool,
    /// Whether the datagram replaces what the sender said of the workers that it gives orders to.
    #[prost(bool, tag = "11")]
    pub has_holds: bool,
    /// Workers that it gives orders to; meaningful only with `has_holds`.
    #[prost(message, repeated, tag = "6")]
    pub holds: Vec<Hold>,
    /// What it knows of the operator's table.
    #[prost(message, optional, tag = "7")]
    pub operator: Option<TableState>,
    /// What it knows of the workers' table.
    #[prost(message, optional, tag = "8")]
    pub workers: Option<TableState>,
}

/// Knowledge of a table.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct TableState {
    /// Digest of what matters in the table.
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
    /// Time of the store's clock as of which the table is so.
    #[prost(uint64, tag = "2")]
    pub as_of_store_ms: u64,
}

/// Load on one worker.
#[derive(Clone, PartialEq, Message)]
pub struct Load {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Requests in flight.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
    /// Prompt tokens of requests without an answer yet.
    #[prost(uint32, tag = "3")]
    pub unread_tokens: u32,
}

/// Use of an adapter.
#[derive(Clone, PartialEq, Message)]
pub struct AdapterUse {
    /// The adapter.
    #[prost(string, tag = "1")]
    pub adapter: String,
    /// Requests that use it now.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
    /// Requests that began since the last datagram.
    #[prost(uint32, tag = "3")]
    pub begun: u32,
}

/// A worker that the sender gives orders to.
#[derive(Clone, PartialEq, Message)]
pub struct Hold {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Fencing token of the hold.
    #[prost(uint64, tag = "2")]
    pub fence: u64,
    /// Whether the worker holds a base model.
    #[prost(bool, tag = "3")]
    pub has_base_model: bool,
    /// Adapters there.
    #[prost(message, repeated, tag = "4")]
    pub held: Vec<Held>,
    /// Adapters that wait for a place or a load.
    #[prost(uint32, tag = "5")]
    pub waiting_loads: u32,
}

/// An adapter at a worker.
#[derive(Clone, PartialEq, Message)]
pub struct Held {
    /// The adapter.
    #[prost(string, tag = "1")]
    pub adapter: String,
    /// Its version.
    #[prost(uint32, tag = "2")]
    pub version: u32,
    /// Whether it is on its way.
    #[prost(bool, tag = "3")]
    pub is_loading: bool,
}

/// Demand for an adapter at a worker.
#[derive(Clone, PartialEq, Message)]
pub struct Demand {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// The adapter.
    #[prost(string, tag = "2")]
    pub adapter: String,
    /// Its version; 0 for the newest.
    #[prost(uint32, tag = "3")]
    pub version: u32,
    /// Whether the worker answered that it does not hold the adapter.
    #[prost(bool, tag = "4")]
    pub is_missing: bool,
    /// Whether the request has not asked before.
    #[prost(bool, tag = "5")]
    pub is_new: bool,
}

/// A message that cannot be used.
#[derive(Debug, snafu::Snafu)]
pub enum FleetError {
    /// The bytes are no message.
    #[snafu(display("the bytes are no message: {source}"))]
    Decode {
        /// Cause.
        source: prost::DecodeError,
    },
    /// An address cannot be read.
    #[snafu(display("{address:?} is no address: {source}"))]
    Address {
        /// The text.
        address: String,
        /// Cause.
        source: std::net::AddrParseError,
    },
}

impl WorkerUses {
    /// Encodes the uses of adapters at a worker.
    #[must_use]
    pub fn new(
        worker: &name::WorkerName,
        adapters: &[(name::AdapterName, dispatch::AdapterUse)],
    ) -> Self {
        let adapters = adapters.iter().map(|(adapter, used)| AdapterUse {
            adapter: adapter.to_string(),
            in_flight: used.in_flight,
            begun: used.begun,
        });
        Self { worker: worker.to_string(), adapters: adapters.collect() }
    }
}

impl From<&dispatch::ReportedLoad> for Load {
    fn from(load: &dispatch::ReportedLoad) -> Self {
        Self {
            worker: load.worker.to_string(),
            in_flight: load.in_flight,
            unread_tokens: load.unread_tokens,
        }
    }
}

impl From<&Load> for dispatch::ReportedLoad {
    fn from(load: &Load) -> Self {
        Self {
            worker: name::WorkerName::from(load.worker.as_str()),
            in_flight: load.in_flight,
            unread_tokens: load.unread_tokens,
        }
    }
}

impl From<&AdapterUse> for dispatch::AdapterUse {
    fn from(used: &AdapterUse) -> Self {
        Self { in_flight: used.in_flight, begun: used.begun }
    }
}

impl Hold {
    /// Encodes the state of a worker that the sender gives orders to.
    #[must_use]
    pub fn new(worker: &name::WorkerName, fence: u64, summary: &placement::Summary) -> Self {
        let held = summary.held.iter().map(|held| Held {
            adapter: held.adapter.name().to_string(),
            version: held.adapter.version(),
            is_loading: held.is_loading,
        });
        Self {
            worker: worker.to_string(),
            fence,
            has_base_model: summary.has_base_model,
            held: held.collect(),
            waiting_loads: summary.waiting_loads,
        }
    }
}

impl From<&Hold> for placement::Summary {
    fn from(hold: &Hold) -> Self {
        let held = hold.held.iter().map(|held| placement::HeldAdapter {
            adapter: adapter::AdapterRef::new(
                name::AdapterName::from(held.adapter.as_str()),
                held.version,
            ),
            is_loading: held.is_loading,
        });
        Self {
            has_base_model: hold.has_base_model,
            held: held.collect(),
            waiting_loads: hold.waiting_loads,
        }
    }
}

impl Demand {
    /// Returns the adapter.
    #[must_use]
    pub fn adapter(&self) -> adapter::AdapterRef {
        adapter::AdapterRef::new(name::AdapterName::from(self.adapter.as_str()), self.version)
    }
}

/// Reads an address.
///
/// # Errors
///
/// Fails when the text is no IP address with a port.
pub fn read_address(address: &str) -> Result<SocketAddr, FleetError> {
    address.parse().context(AddressSnafu { address })
}

/// Creates a place from its names.
#[must_use]
pub fn read_place(region: &str, failure_domain: &str) -> locality::Locality {
    locality::Locality::new(
        name::RegionName::from(region),
        name::FailureDomainName::from(failure_domain),
    )
}
