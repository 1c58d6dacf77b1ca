//! A daemon's view of a worker.

use indexmap::IndexSet;

use crate::adapter;
use crate::locality;
use crate::name;

/// A daemon's view of one worker; possibly out of date, since only its owner has the current state.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// Name of the worker.
    pub name: name::WorkerName,
    /// Region and failure domain of the worker.
    pub locality: locality::Locality,
    /// Base model that the worker serves.
    pub base_model: name::BaseModelName,
    /// Daemon that owns the worker, if any.
    pub owner: Option<name::HostName>,
    /// Adapters that the worker is known to hold.
    pub loaded: IndexSet<adapter::AdapterRef>,
    /// Last known number of requests queued or running at the worker.
    pub outstanding: u32,
    /// Whether the worker accepts no new requests.
    pub leaving: bool,
}
