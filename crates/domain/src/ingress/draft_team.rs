//! Teams of a configuration with the keys that are listed for them.

use crate::team;

/// Team with its keys as listed, including keys that are listed more than once.
#[derive(Clone, Debug, PartialEq)]
pub struct DraftTeam {
    /// The team.
    pub team: team::Team,
    /// Digests of the keys.
    pub keys: Vec<team::KeyDigest>,
}
