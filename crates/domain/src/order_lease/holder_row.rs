//! Row that names the daemon which gives a worker its orders.

use crate::name;

/// Holder of one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderRow {
    /// Daemon that gives the orders.
    pub host: name::HostName,
}
