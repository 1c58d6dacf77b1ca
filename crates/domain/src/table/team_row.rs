//! Row of a team.

use super::{KeyHash, Limits};

/// Row of one team of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamRow {
    /// Hashes of the team's bearer keys.
    pub key_hashes: Vec<KeyHash>,
    /// Limits of the row.
    pub limits: Limits,
}
