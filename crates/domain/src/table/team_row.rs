//! Rows of teams.

use super::{KeyHash, Limits};

/// Row of a team of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamRow {
    /// Hashes of the team's bearer keys.
    pub key_hashes: Vec<KeyHash>,
    /// Scheduling and capacity limits.
    pub limits: Limits,
}
