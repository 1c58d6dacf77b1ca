//! One daemon of the fleet.

use indexmap::IndexMap;

use crate::lease;
use crate::name;

/// What is known of one daemon.
#[derive(Clone, Debug)]
pub struct Member {
    pub(super) session: lease::Observer,
    /// Monitors that suspect the daemon, with the incarnation that they suspect.
    pub(super) accusers: IndexMap<name::HostName, lease::Incarnation>,
}

impl Member {
    /// Returns the daemon's session as observed.
    #[must_use]
    pub fn session(&self) -> &lease::Observer {
        &self.session
    }

    pub(super) fn is_live(&self) -> bool {
        self.session.row().state == lease::SessionState::Live
    }

    pub(super) fn holds(&self) -> bool {
        self.session.row().state.holds()
    }
}
