//! Lease holders.

use std::fmt;

use super::Incarnation;
use crate::name;

/// Session incarnation of the daemon on a host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Holder {
    /// Host of the daemon.
    pub host: name::HostName,
    /// Incarnation of the daemon's session.
    pub incarnation: Incarnation,
}

impl fmt::Display for Holder {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.host, self.incarnation)
    }
}
