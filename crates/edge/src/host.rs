//! Host settings that the platform provides.

use std::net::{IpAddr, SocketAddr};

use jasminetack_domain::locality;
use jasminetack_domain::name;
use jasminetack_domain::team_quota;

/// Identity, addresses and operating limits of the daemon on one host.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Name of the daemon, unique among all machines.
    pub name: name::HostName,
    /// IP address of the host.
    pub ip: IpAddr,
    /// Region and failure domain.
    pub locality: locality::Locality,
    /// Address that accepts callers' requests.
    pub callers_address: SocketAddr,
    /// Address of the readiness endpoint.
    pub readiness_address: SocketAddr,
    /// Address that receives datagrams from other daemons.
    pub peers_address: SocketAddr,
    /// Limits within which the daemon operates.
    pub limits: OperatingLimits,
    /// Whether the slots of app services are assigned by brokers.
    pub uses_slot_credits: bool,
}

/// Result of reading the settings file again while the process runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reload {
    /// The file has the values that are in use.
    Unchanged,
    /// The file has other values, which take effect after a restart; one string for each value.
    NeedsRestart(Vec<String>),
    /// The file is invalid; the previous values stay in use.
    Refused(String),
}

/// Limits within which the daemon operates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OperatingLimits {
    /// Time between SIGTERM and SIGKILL.
    pub grace_ms: u64,
    /// Maximum ratio of retries to requests.
    pub retry_ratio: f64,
    /// Window over which requests and retries are counted.
    pub retry_window_ms: u64,
    /// Retries allowed beyond the ratio, for all daemons together.
    pub retry_slack: f64,
    /// Time within which orders of two holders must not interleave.
    pub order_guard_ms: u64,
    /// Bounds of the rule for quotas of teams; `None` where there are no teams.
    pub quota: Option<team_quota::QuotaBounds>,
    /// Whether running answers end when the key of their request is removed.
    pub ends_revoked_answers: bool,
}
