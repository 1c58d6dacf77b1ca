//! Access of callers to a route.

use std::sync::Arc;

use super::Team;

/// Right by which a request is served.
#[derive(Clone, Debug, PartialEq)]
pub enum Access {
    /// The configuration has no teams, and callers are not authenticated.
    Unrestricted,
    /// The route needs no key, and the request belongs to no team.
    Public,
    /// The request has a key of this team.
    Team(Arc<Team>),
}

impl Access {
    /// Returns the team that the request belongs to.
    #[must_use]
    pub fn team(&self) -> Option<&Arc<Team>> {
        match self {
            Self::Team(team) => Some(team),
            Self::Unrestricted | Self::Public => None,
        }
    }

    /// Returns whether callers are authenticated.
    #[must_use]
    pub fn has_teams(&self) -> bool {
        *self != Self::Unrestricted
    }

    /// Returns the priority of the request: the team's if it has one, otherwise the route's.
    #[must_use]
    pub fn priority(&self, route_priority: u8) -> u8 {
        self.team().and_then(|team| team.priority).unwrap_or(route_priority)
    }
}
