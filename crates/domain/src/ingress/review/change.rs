//! Differences between two versions of a configuration.

use super::{ChangeKind, Place};

/// Difference of one entry or field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// What has changed.
    pub place: Place,
    /// How it has changed.
    pub kind: ChangeKind,
}
