//! Released rows, which prove that an ownership has finished.

use super::Holder;
use crate::adapter;
use crate::name;

/// Value of the row `released/WORKER/FENCING`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReleasedRow {
    /// Released worker.
    pub worker: name::WorkerName,
    /// Fencing number of the finished ownership.
    pub fencing: adapter::FencingToken,
    /// Session incarnation that owned the worker.
    pub holder: Holder,
}
