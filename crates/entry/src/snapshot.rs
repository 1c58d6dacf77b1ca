//! Immutable snapshot of the fleet that the control thread publishes for traffic.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use jasminetack_domain::name;
use jasminetack_domain::route;
use jasminetack_domain::table;

/// State of the fleet at one point in time.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Table of adapters, teams and services.
    pub table: Arc<table::Table>,
    /// Model workers.
    pub fleet: Arc<route::Fleet>,
    /// Other daemons by host.
    pub peers: IndexMap<name::HostName, Peer>,
    /// Addresses of app services by service name, without hosts that are leaving.
    pub services: IndexMap<name::ServiceName, Vec<SocketAddr>>,
    /// Whether the daemon may accept requests, and why.
    pub readiness: Readiness,
}

/// Whether a daemon may accept requests, and why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// The daemon has just started and has not evaluated its table yet.
    #[default]
    Starting,
    /// Readiness follows from the freshness of the table.
    Table(table::FreshnessStatus),
    /// The daemon is shutting down.
    Leaving,
}

impl Readiness {
    /// Returns whether requests may be accepted.
    pub fn is_ready(self) -> bool {
        matches!(self, Self::Table(freshness) if freshness.may_serve())
    }

    /// Returns whether an arriving request is served; a daemon that is shutting down still serves
    /// requests on open connections.
    pub fn serves(self) -> bool {
        self.is_ready() || self == Self::Leaving
    }

    /// Returns the explanation that the readiness endpoint shows.
    pub fn explanation(self) -> &'static str {
        match self {
            Self::Starting | Self::Table(table::FreshnessStatus::NoTable) => {
                "the table has not been read yet"
            }
            Self::Table(table::FreshnessStatus::Current) => "the table is current",
            Self::Table(table::FreshnessStatus::PlatformOutage) => {
                "the platform is unreachable; the last known table is in use"
            }
            Self::Table(table::FreshnessStatus::Partitioned) => {
                "neither the platform nor more than half of the daemons confirm the table"
            }
            Self::Leaving => "the daemon shuts down",
        }
    }

    /// Returns the short name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Table(freshness) => freshness.as_str(),
            Self::Leaving => "leaving",
        }
    }
}

/// Another daemon as this one sees it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Address of its peer port.
    pub address: SocketAddr,
    /// Whether the failure detector suspects it.
    pub suspected: bool,
}
