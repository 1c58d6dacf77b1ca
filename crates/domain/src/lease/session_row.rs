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
    /// Number of renewals; ensures that every renewal changes the row.
    pub renewals: u64,
    /// Configuration table version that the daemon applies.
    pub table_version: u64,
    /// Incarnation of the host in the platform's host list; 0 when unknown.
    pub host_incarnation: u64,
    /// Region and failure domain.
    pub place: locality::Locality,
    /// Address on which the daemon accepts connections of other daemons.
    pub peers_address: SocketAddr,
    /// Address of the operations endpoint; `None` when the row was learned by gossip.
    pub ops_address: Option<SocketAddr>,
}

impl SessionRow {
    /// Returns the incarnation that holds the session.
    #[must_use]
    pub fn holder(&self) -> Holder {
        Holder { host: self.host.clone(), incarnation: self.incarnation }
    }

    /// Returns whether this row shows that an incarnation no longer holds its workers.
    ///
    /// Lapses and higher incarnations are never reverted, so `true` is correct even for a stale row.
    #[must_use]
    pub fn is_expired(&self, incarnation: Incarnation) -> bool {
        if self.incarnation > incarnation {
            return true;
        }
        self.incarnation == incarnation && !self.state.holds_lease()
    }
}

/// State of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SessionState {
    /// The daemon serves requests.
    Live,
    /// The daemon is shutting down: it accepts no new work but still owns its workers.
    Leaving,
    /// An observer saw no renewal within the lease TTL; the process may still be running.
    Lapsed,
    /// The daemon completed all requests and stopped.
    Ended,
}

impl SessionState {
    /// Returns whether a session in this state holds its lease, and with it its workers.
    #[must_use]
    pub fn holds_lease(self) -> bool {
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

    /// Parses a state name.
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
