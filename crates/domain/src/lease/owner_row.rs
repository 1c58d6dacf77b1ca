//! Owner rows.

use super::{Former, Holder};
use crate::adapter;
use crate::name;

/// Value of the row `owner/WORKER`; written only when the owner changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OwnerRow {
    /// The worker.
    pub worker: name::WorkerName,
    /// Incarnation that owns the worker.
    pub holder: Holder,
    /// Rises by one with each change of the owner.
    pub fencing: adapter::FencingToken,
    /// Former owners that are not known to have finished.
    pub former: Vec<Former>,
}
