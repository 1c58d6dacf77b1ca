//! Holder rows.

use crate::name;

/// Row that assigns a worker to the daemon that may send it orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderRow {
    /// Daemon that sends the orders.
    pub host: name::HostName,
}
