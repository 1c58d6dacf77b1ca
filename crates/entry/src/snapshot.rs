//! Immutable view of the fleet that the control thread publishes for traffic.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use jasminetack_domain::name;
use jasminetack_domain::route;
use jasminetack_domain::table;

/// View of the fleet at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The operators' table.
    pub table: Arc<table::Table>,
    /// The model workers.
    pub fleet: Arc<route::Fleet>,
    /// The other daemons, by host.
    pub peers: IndexMap<name::HostName, Peer>,
    /// Addresses of app services by service name, leaving ones left out.
    pub services: IndexMap<name::ServiceName, Vec<SocketAddr>>,
    /// Whether the daemon may accept requests, with the reason.
    pub readiness: Readiness,
}

/// Whether a daemon may accept requests, with the reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// The daemon has just started.
    #[default]
    Starting,
    /// The table decides.
    Table(table::FreshnessStatus),
    /// The daemon shuts down.
    Leaving,
}

impl Readiness {
    /// Tells whether requests may be accepted.
    pub fn is_ready(self) -> bool {
        matches!(self, Self::Table(standing) if standing.may_serve())
    }

    /// Tells whether a request that arrives is served; a daemon that shuts down still serves what
    /// arrives on open connections.
    pub fn serves(self) -> bool {
        self.is_ready() || self == Self::Leaving
    }

    /// Explains the state on the readiness page.
    pub fn explanation(self) -> &'static str {
        match self {
            Self::Starting | Self::Table(table::FreshnessStatus::NoTable) => {
                "the table has not been read yet"
            }
            Self::Table(table::FreshnessStatus::Current) => "the table is current",
            Self::Table(table::FreshnessStatus::PlatformOutage) => {
                "the platform is out; the last table is in force"
            }
            Self::Table(table::FreshnessStatus::Partitioned) => {
                "neither the platform nor more than half of the daemons confirm the table"
            }
            Self::Leaving => "the daemon shuts down",
        }
    }

    /// Returns the reason for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Table(standing) => standing.as_str(),
            Self::Leaving => "leaving",
        }
    }
}

/// Another daemon.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Address of its port for other daemons.
    pub address: SocketAddr,
    /// Whether it is suspected to have failed.
    pub suspected: bool,
}
