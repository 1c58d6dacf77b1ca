//! Identity of this daemon.

use std::net::SocketAddr;

use jasminetack_domain::locality;
use jasminetack_domain::name;

/// Identity of this daemon, as written to its lease row.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the daemon.
    pub host: name::HostName,
    /// Address that receives datagrams from other daemons.
    pub address: SocketAddr,
    /// Region and failure domain.
    pub locality: locality::Locality,
}
