//! Validation errors of edits.

use super::RowKey;
use crate::name;

/// Validation error of one edit.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("{key}: {kind}"))]
pub struct EditError {
    /// Key of the row.
    pub key: RowKey,
    /// Rule that the edit violates.
    pub kind: EditErrorKind,
}

/// Rule that an edit violates; the message tells the operator how to correct it.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum EditErrorKind {
    /// The name cannot be used in requests or keys.
    #[snafu(display(
        "the name is not valid; use 1 to 128 letters, digits, dots, hyphens or underscores"
    ))]
    Name,
    /// The kind of the row differs from the kind of its key.
    #[snafu(display("the row is of another kind than its key; use a key of the row's kind"))]
    Kind,
    /// The row to delete does not exist.
    #[snafu(display("there is no such row to delete; check the name with `show`"))]
    NothingToDelete,
    /// The weight is out of range.
    #[snafu(display("weight {weight} is out of range; give 1 to 10000"))]
    Weight {
        /// Rejected value.
        weight: u32,
    },
    /// The ceiling is out of range.
    #[snafu(display("ceiling {ceiling} is out of range; give 1 to 1000000, or none"))]
    Ceiling {
        /// Rejected value.
        ceiling: u32,
    },
    /// The share is out of range.
    #[snafu(display("share {share} is out of range; give 1 to 10000"))]
    Share {
        /// Rejected value.
        share: u32,
    },
    /// The adapter names no team.
    #[snafu(display("the team is missing; set team"))]
    Team,
    /// The adapter names no base model.
    #[snafu(display("the base model is missing; set base-model"))]
    BaseModel,
    /// A version is 0 or occurs twice.
    #[snafu(display("version {version} is 0 or occurs twice; give each version once, from 1"))]
    Version {
        /// Rejected value.
        version: u32,
    },
    /// The versions before the default, which is last, are not ascending.
    #[snafu(display(
        "the versions are not ascending; list them in order, with only the default moved to the end"
    ))]
    VersionOrder,
    /// A new version is not higher than every existing version.
    #[snafu(display("new version {version} is not above {highest}; use a higher number"))]
    VersionNotHigher {
        /// Rejected value.
        version: u32,
        /// Highest existing version.
        highest: u32,
    },
    /// An existing version is missing.
    #[snafu(display(
        "version {version} may be in use and cannot be removed; keep it and move the default"
    ))]
    VersionRemoved {
        /// Version that is missing.
        version: u32,
    },
    /// The team of the adapter does not exist.
    #[snafu(display("there is no team {team}; create it first or in the same file"))]
    UnknownTeam {
        /// Team that is missing.
        team: name::TeamName,
    },
    /// The team to delete still owns adapters.
    #[snafu(display("adapter {adapter} belongs to the team; move or delete the adapter first"))]
    TeamInUse {
        /// One adapter of the team.
        adapter: name::AdapterName,
    },
    /// The bearer key is already assigned, to this team or another one.
    #[snafu(display("a bearer key is already valid for team {team}; use another key"))]
    KeyInUse {
        /// Team that the key is assigned to.
        team: name::TeamName,
    },
    /// A pattern of repeatable calls cannot match any call.
    #[snafu(display(
        "calls {method} {path_prefix} cannot match; give a method in capitals or *, and a path \
         that begins with /"
    ))]
    Call {
        /// Method of the pattern.
        method: String,
        /// Path prefix of the pattern.
        path_prefix: String,
    },
    /// The row occurs more than once in the set of edits.
    #[snafu(display("the row is edited more than once; combine the edits"))]
    Duplicate,
}
