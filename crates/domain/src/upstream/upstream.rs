//! Entry of one worker.

use std::net::SocketAddr;

use crate::adapter;
use crate::locality;
use crate::name;

/// Entry of a worker in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Name of the worker.
    pub name: name::WorkerName,
    /// Service that the worker belongs to.
    pub service: name::ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Region and failure domain.
    pub locality: locality::Locality,
    /// Number of requests that the worker processes concurrently.
    pub slots: u32,
    /// Whether the worker is shutting down and must not get new requests.
    pub is_draining: bool,
    /// Start of the process in milliseconds since the Unix epoch; a new value under the same name
    /// means that the worker restarted and lost its state.
    pub started_unix_ms: u64,
    /// Base models that are loaded.
    pub base_models: Vec<name::BaseModelName>,
    /// Adapters that were loaded when the entry was written.
    pub adapters: Vec<adapter::AdapterRef>,
}

impl Upstream {
    /// Returns whether two entries are equal apart from their adapters.
    #[must_use]
    pub fn equals_except_adapters(&self, other: &Self) -> bool {
        let with_same_adapters = Self { adapters: other.adapters.clone(), ..self.clone() };
        with_same_adapters == *other
    }
}
