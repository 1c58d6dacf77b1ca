//! Entries of a configuration that a finding or a change is about.

use crate::name;

/// Entry of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// The configuration as a whole.
    Configuration,
    /// A route.
    Route(name::RouteName),
    /// A service.
    Service(name::ServiceName),
    /// A base model of a service.
    BaseModel(name::ServiceName, name::BaseModelName),
    /// The list of teams.
    Teams,
    /// A team.
    Team(name::TeamName),
    /// The limits on callers.
    Limits,
}
