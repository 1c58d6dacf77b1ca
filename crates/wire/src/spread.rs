//! Control messages between daemons and the states that gossip events carry.

use std::net::SocketAddr;

use jasminetack_domain::adapter;
use jasminetack_domain::lease;
use jasminetack_domain::locality;
use jasminetack_domain::name;
use prost::Message;
use snafu::{OptionExt, ResultExt};

/// Hashes of all known events, for comparison with another daemon.
#[derive(Clone, PartialEq, Message)]
pub struct Digest {
    /// One hash for each bucket of subjects.
    #[prost(fixed64, repeated, tag = "1")]
    pub hashes: Vec<u64>,
}

/// Asks another daemon for a heartbeat.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct StatusRequest {}

/// Asks another daemon for table rows while the platform is out of reach.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RowsRequest {
    /// Version after which changes are wanted.
    #[prost(uint64, tag = "1")]
    pub after: u64,
}

/// Table rows from another daemon, oldest first.
#[derive(Clone, PartialEq, Message)]
pub struct Rows {
    /// The rows.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<RowCopy>,
    /// All changes up to this version are contained or are older than the version asked for.
    #[prost(uint64, tag = "2")]
    pub head_version: u64,
}

/// Copy of a stored row.
#[derive(Clone, PartialEq, Message)]
pub struct RowCopy {
    /// Key of the row, without its prefix.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Version of the last commit that wrote the row.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// JSON value; empty when the row is deleted.
    #[prost(string, tag = "3")]
    pub value: String,
}

/// State of the subject `session/HOST`.
#[derive(Clone, PartialEq, Message)]
pub struct SessionState {
    /// Incarnation.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// `live`, `leaving`, `lapsed` or `ended`.
    #[prost(string, tag = "2")]
    pub state: String,
    /// Incarnation of the host in the host list; 0 when unknown.
    #[prost(uint64, tag = "3")]
    pub host_incarnation: u64,
    /// Region.
    #[prost(string, tag = "4")]
    pub region: String,
    /// Failure domain.
    #[prost(string, tag = "5")]
    pub failure_domain: String,
    /// Address of the port for other daemons, `IP:PORT`.
    #[prost(string, tag = "6")]
    pub peers_address: String,
    /// Host of the daemon.
    #[prost(string, tag = "7")]
    pub host: String,
}

/// State of the subject `owner/WORKER`.
#[derive(Clone, PartialEq, Message)]
pub struct OwnerState {
    /// Host of the owner.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Incarnation of the owner.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Fencing number.
    #[prost(uint64, tag = "3")]
    pub fencing: u64,
    /// Former owners that are not known to have finished.
    #[prost(message, repeated, tag = "4")]
    pub former: Vec<FormerState>,
    /// The worker.
    #[prost(string, tag = "5")]
    pub worker: String,
}

/// A former owner.
#[derive(Clone, PartialEq, Message)]
pub struct FormerState {
    /// Fencing number.
    #[prost(uint64, tag = "1")]
    pub fencing: u64,
    /// Host.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Incarnation.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Incarnation of the host in the host list; 0 when unknown.
    #[prost(uint64, tag = "4")]
    pub host_incarnation: u64,
}

/// State of the subject `worker/WORKER`, told by its owner.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerState {
    /// Version that `added` and `removed` start from; 0 when `added` lists all adapters.
    #[prost(uint64, tag = "1")]
    pub base_version: u64,
    /// Adapters that became usable, `NAME@VERSION`.
    #[prost(string, repeated, tag = "2")]
    pub added: Vec<String>,
    /// Adapters that are no longer usable.
    #[prost(string, repeated, tag = "3")]
    pub removed: Vec<String>,
    /// Whether the worker takes no new work.
    #[prost(bool, tag = "4")]
    pub unavailable: bool,
}

/// State of the subject `suspect/HOST/MONITOR`.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Suspicion {
    /// Incarnation of the suspected host.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Whether the monitor suspects it.
    #[prost(bool, tag = "2")]
    pub suspects: bool,
}

/// Why the state of an event is not valid.
#[derive(Debug, snafu::Snafu)]
pub enum StateError {
    /// The session state has no such name.
    #[snafu(display("unknown session state {state:?}"))]
    State {
        /// State found.
        state: String,
    },
    /// The address is not `IP:PORT`.
    #[snafu(display("bad address {address:?}: {source}"))]
    Address {
        /// Address found.
        address: String,
        /// Cause.
        source: std::net::AddrParseError,
    },
}

impl From<&lease::SessionRow> for SessionState {
    fn from(row: &lease::SessionRow) -> Self {
        Self {
            incarnation: row.incarnation.value(),
            state: row.state.as_str().to_owned(),
            host_incarnation: row.host_incarnation,
            region: row.place.region().to_string(),
            failure_domain: row.place.failure_domain().to_string(),
            peers_address: row.peers_address.to_string(),
            host: row.host.to_string(),
        }
    }
}

impl TryFrom<SessionState> for lease::SessionRow {
    type Error = StateError;

    fn try_from(wire: SessionState) -> Result<Self, StateError> {
        let state = lease::SessionState::parse(&wire.state)
            .with_context(|| StateSnafu { state: wire.state.clone() })?;
        let peers_address: SocketAddr = wire
            .peers_address
            .parse()
            .with_context(|_| AddressSnafu { address: wire.peers_address.clone() })?;
        Ok(Self {
            host: name::HostName::from(wire.host),
            incarnation: lease::Incarnation::new(wire.incarnation),
            state,
            renewals: 0,
            table_version: 0,
            host_incarnation: wire.host_incarnation,
            place: locality::Locality::new(
                name::RegionName::from(wire.region),
                name::FailureDomainName::from(wire.failure_domain),
            ),
            peers_address,
            ops_address: None,
        })
    }
}

impl From<&lease::OwnerRow> for OwnerState {
    fn from(row: &lease::OwnerRow) -> Self {
        let former = row.former_owners.iter().map(|former| FormerState {
            fencing: former.fencing.value(),
            host: former.holder.host.to_string(),
            incarnation: former.holder.incarnation.value(),
            host_incarnation: former.host_incarnation,
        });
        Self {
            host: row.holder.host.to_string(),
            incarnation: row.holder.incarnation.value(),
            fencing: row.fencing.value(),
            former: former.collect(),
            worker: row.worker.to_string(),
        }
    }
}

impl From<OwnerState> for lease::OwnerRow {
    fn from(wire: OwnerState) -> Self {
        let holder = |host: String, incarnation| lease::Holder {
            host: name::HostName::from(host),
            incarnation: lease::Incarnation::new(incarnation),
        };
        let former = wire.former.into_iter().map(|former| lease::FormerOwner {
            fencing: adapter::FencingToken::new(former.fencing),
            holder: holder(former.host, former.incarnation),
            host_incarnation: former.host_incarnation,
        });
        Self {
            worker: name::WorkerName::from(wire.worker),
            former_owners: former.collect(),
            holder: holder(wire.host, wire.incarnation),
            fencing: adapter::FencingToken::new(wire.fencing),
        }
    }
}
