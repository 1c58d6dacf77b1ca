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
    /// Whether the daemon may accept requests.
    pub ready: bool,
}

/// Another daemon.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Address of its port for other daemons.
    pub address: SocketAddr,
    /// Whether it is suspected to have failed.
    pub suspected: bool,
}
