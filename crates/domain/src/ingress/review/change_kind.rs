//! Kinds of differences.

/// How an entry or field differs from the version in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// It is new.
    Added,
    /// It is no longer listed.
    Removed,
    /// It has another value.
    Changed {
        /// Value in the version in force.
        before: String,
        /// Value in the reviewed version.
        after: String,
    },
    /// Keys were added to a team or removed from it.
    Keys {
        /// Number of keys that the version in force does not have.
        added: usize,
        /// Number of keys that only the version in force has.
        removed: usize,
    },
}
