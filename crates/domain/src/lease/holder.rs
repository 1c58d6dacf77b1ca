//! Holder of an ownership.

use std::fmt;

use super::Incarnation;
use crate::name;

/// One incarnation of the daemon on a host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Holder {
    /// The host.
    pub host: name::HostName,
    /// Incarnation of its session.
    pub incarnation: Incarnation,
}

impl fmt::Display for Holder {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.host, self.incarnation)
    }
}
