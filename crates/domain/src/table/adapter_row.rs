//! Rows of adapters.

use super::Limits;
use crate::name;

/// Row of an adapter.
#[derive(Clone, Debug, PartialEq)]
pub struct AdapterRow {
    /// Team that owns the adapter.
    pub team: name::TeamName,
    /// Base model that the adapter extends.
    pub base_model: name::BaseModelName,
    /// Versions that callers may request; the last one is the default.
    pub versions: Vec<u32>,
    /// Scheduling and capacity limits.
    pub limits: Limits,
}
