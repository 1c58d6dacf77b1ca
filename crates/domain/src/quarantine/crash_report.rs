//! Report of another daemon on a crash.

use super::WorkerCrash;
use crate::name;

/// Report of another daemon on the crash of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The daemon.
    pub from: name::HostName,
    /// Whether it was sent later than everything else that was received of this daemon. If not, it may be a
    /// repeat or have been overtaken.
    pub is_newest: bool,
    /// The crash as the daemon saw it.
    pub crash: WorkerCrash,
}
