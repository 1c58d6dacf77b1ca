//! Member of the fleet.

use indexmap::IndexMap;

use crate::lease;
use crate::name;

/// Session and failure suspicions of one daemon.
#[derive(Clone, Debug)]
pub struct Member {
    pub(super) session: lease::Observer,
    /// Monitors that suspect the daemon, with the suspected incarnation.
    pub(super) suspected_by: IndexMap<name::HostName, lease::Incarnation>,
}

impl Member {
    /// Returns the observer of the daemon's session.
    #[must_use]
    pub fn session(&self) -> &lease::Observer {
        &self.session
    }

    pub(super) fn is_live(&self) -> bool {
        self.session.row().state == lease::SessionState::Live
    }

    pub(super) fn holds_lease(&self) -> bool {
        self.session.row().state.holds_lease()
    }
}
