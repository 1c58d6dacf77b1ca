//! Identity of a request for a credit.

use crate::name;

/// Identifies a request for a credit among those of all daemons.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey {
    /// Daemon that asks.
    pub host: name::HostName,
    /// Start of its process in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Number of the request within the process.
    pub number: u64,
}
