//! Row of an adapter.

use super::Limits;
use crate::name;

/// Row of one adapter.
#[derive(Clone, Debug, PartialEq)]
pub struct AdapterRow {
    /// Team that owns the adapter.
    pub team: name::TeamName,
    /// Base model that the adapter extends.
    pub base_model: name::BaseModelName,
    /// Versions that callers may name; the last one is the default.
    pub versions: Vec<u32>,
    /// Limits of the row.
    pub limits: Limits,
}
