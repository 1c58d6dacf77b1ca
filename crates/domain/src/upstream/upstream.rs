//! One listed worker.

use std::net::SocketAddr;

use crate::adapter;
use crate::locality;
use crate::name;

/// A worker of a service as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Identifier of the worker.
    pub name: name::WorkerName,
    /// Service that it belongs to.
    pub service: name::ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// Its region and failure domain.
    pub locality: locality::Locality,
    /// Requests that it processes at one time.
    pub slots: u32,
    /// Whether it is about to leave and takes no new work.
    pub is_draining: bool,
    /// Start of the process in milliseconds since 1970; a new value under the same name means that
    /// the worker has forgotten everything.
    pub started_unix_ms: u64,
    /// Base models that it holds.
    pub base_models: Vec<name::BaseModelName>,
    /// Adapters that it held when the entry was written.
    pub adapters: Vec<adapter::AdapterRef>,
}

impl Upstream {
    /// Returns whether two entries of a worker differ at most in the adapters that they list.
    #[must_use]
    pub fn is_used_like(&self, other: &Self) -> bool {
        let without_adapters = Self { adapters: other.adapters.clone(), ..self.clone() };
        without_adapters == *other
    }
}
