//! Evidence that an ownership has finished.

use super::Holder;
use crate::adapter;
use crate::name;

/// Value of the row `released/WORKER/FENCING`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReleasedRow {
    /// The worker.
    pub worker: name::WorkerName,
    /// Fencing number of the ownership that finished.
    pub fencing: adapter::FencingToken,
    /// Incarnation that owned the worker.
    pub holder: Holder,
}
