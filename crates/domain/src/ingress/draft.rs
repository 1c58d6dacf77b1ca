//! Entries of a configuration before they are combined.

use super::{ClientLimits, DraftTeam, Ingress, Route, ServiceProfile};
use crate::team;

/// Entries of one configuration version in the order in which they are listed.
///
/// Unlike [`Ingress`], it keeps entries that are listed more than once, so that a review can report
/// them.
#[derive(Clone, Debug, PartialEq)]
pub struct Draft {
    /// Version of the configuration.
    pub version: u64,
    /// Routes, each with its host.
    pub routes: Vec<(String, Route)>,
    /// Services.
    pub services: Vec<ServiceProfile>,
    /// Limits on caller connections and requests.
    pub limits: ClientLimits,
    /// Teams; `None` if callers are not authenticated.
    pub teams: Option<Vec<DraftTeam>>,
}

impl From<Draft> for Ingress {
    fn from(draft: Draft) -> Self {
        let teams = draft.teams.map(|teams| {
            team::TeamDirectory::new(teams.into_iter().map(|entry| (entry.team, entry.keys)))
        });
        Self::new(draft.version, draft.routes, draft.services, draft.limits, teams)
    }
}
