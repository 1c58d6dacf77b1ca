//! What a daemon knows of a worker.

use indexmap::IndexSet;

use crate::adapter;
use crate::locality;
use crate::name;

/// What a daemon knows of one worker; a hint, since the owner decides.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// Name of the worker.
    pub name: name::WorkerName,
    /// Region and failure domain of the worker.
    pub place: locality::Locality,
    /// Base model that the worker serves.
    pub base_model: name::BaseModelName,
    /// Daemon that owns the worker; `None` while nobody does.
    pub owner: Option<name::HostName>,
    /// Adapters that the worker is known to hold.
    pub loaded: IndexSet<adapter::AdapterRef>,
    /// Requests that wait or run at the worker, as far as known.
    pub outstanding: u32,
    /// Whether the worker takes no new work.
    pub leaving: bool,
}
