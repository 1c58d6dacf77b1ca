//! Owner rows.

use super::{FormerOwner, Holder};
use crate::adapter;
use crate::name;

/// Value of the row `owner/WORKER`, written only when the owner changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OwnerRow {
    /// Owned worker.
    pub worker: name::WorkerName,
    /// Session incarnation that owns the worker.
    pub holder: Holder,
    /// Fencing number, incremented by each change of owner.
    pub fencing: adapter::FencingToken,
    /// Former owners not yet proven to have finished, oldest first.
    pub former_owners: Vec<FormerOwner>,
}
