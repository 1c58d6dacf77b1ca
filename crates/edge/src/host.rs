//! Settings of a host that the platform provides.

use std::net::{IpAddr, SocketAddr};

use jasminetack_domain::locality;
use jasminetack_domain::name;

/// Where a daemon runs and what is promised of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Name of the daemon; no other machine has it.
    pub name: name::HostName,
    /// Address of the host.
    pub ip: IpAddr,
    /// Region and failure domain.
    pub place: locality::Locality,
    /// Callers' port.
    pub callers_address: SocketAddr,
    /// Port of the readiness check.
    pub readiness_address: SocketAddr,
    /// Port for datagrams of other daemons.
    pub peers_address: SocketAddr,
    /// Promises.
    pub promises: Promises,
}

/// What a change of the settings file means for the running process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reload {
    /// The values in use are those of the file.
    Unchanged,
    /// The file has other values, which come into force with the next start; one text for each.
    NeedsRestart(Vec<String>),
    /// The file cannot be used; the values in use stay in force.
    Refused(String),
}

/// Bounds within which the daemon must act.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Promises {
    /// Time from SIGTERM to SIGKILL.
    pub grace_ms: u64,
    /// Repeated requests for each request.
    pub retry_ratio: f64,
    /// Window in which repeated requests are counted.
    pub retry_window_ms: u64,
    /// Repeated requests of all daemons together beyond the ratio.
    pub retry_slack: f64,
    /// Time within which orders of two holders may not alternate.
    pub order_guard_ms: u64,
}
