//! Session rows.

use std::net::SocketAddr;

use super::{Holder, Incarnation};
use crate::locality;
use crate::name;

/// Value of the row `session/HOST`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SessionRow {
    /// Host of the daemon.
    pub host: name::HostName,
    /// Incarnation of the session.
    pub incarnation: Incarnation,
    /// State of the session.
    pub state: SessionState,
    /// Rises with each renewal, so that every renewal changes the row.
    pub renewals: u64,
    /// Table version that is in force at the daemon.
    pub table_version: u64,
    /// Incarnation of the host in the platform's host list; 0 when the daemon was not told.
    pub host_incarnation: u64,
    /// Region and failure domain.
    pub place: locality::Locality,
    /// Address of the port for other daemons.
    pub peers_address: SocketAddr,
    /// Address of the operations port, for operators; not known from gossip.
    pub ops_address: Option<SocketAddr>,
}

impl SessionRow {
    /// Returns the incarnation that holds the session.
    #[must_use]
    pub fn holder(&self) -> Holder {
        Holder { host: self.host.clone(), incarnation: self.incarnation }
    }

    /// Tells whether an incarnation may no longer be treated as the holder of its workers.
    ///
    /// Neither a lapse nor a later incarnation is ever undone, so a stale row gives no wrong `true`.
    #[must_use]
    pub fn is_over(&self, incarnation: Incarnation) -> bool {
        if self.incarnation > incarnation {
            return true;
        }
        self.incarnation == incarnation && !self.state.holds()
    }
}

/// State of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SessionState {
    /// The daemon serves.
    Live,
    /// The daemon shuts down and takes no new work, but still holds what it owns.
    Leaving,
    /// An observer saw no renewal for the lease's time; the daemon may still run.
    Lapsed,
    /// The daemon finished every request and stopped.
    Ended,
}

impl SessionState {
    /// Tells whether the incarnation still holds its workers.
    #[must_use]
    pub fn holds(self) -> bool {
        matches!(self, Self::Live | Self::Leaving)
    }

    /// Returns the name used in rows and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Lapsed => "lapsed",
            Self::Ended => "ended",
        }
    }

    /// Reads a state from its name.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "live" => Some(Self::Live),
            "leaving" => Some(Self::Leaving),
            "lapsed" => Some(Self::Lapsed),
            "ended" => Some(Self::Ended),
            _ => None,
        }
    }
}
