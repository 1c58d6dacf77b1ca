//! Workers that have a local copy of their base model.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::name;
use crate::upstream;

/// Maximum number of remembered addresses; the oldest are removed first.
const MAX_ADDRESSES: usize = 8_192;

/// Addresses at which a worker held its base model.
///
/// A worker that restarts keeps its address and the weights on its disk; one that replaces another
/// has a new address and no copy. An address may pass to another service.
#[derive(Clone, Debug, Default)]
pub struct LocalCopies {
    services: IndexMap<SocketAddr, name::ServiceName>,
}

impl LocalCopies {
    /// Records the entry of a worker.
    pub fn record(&mut self, upstream: &upstream::Upstream) {
        if upstream.base_models.is_empty() {
            return;
        }
        self.services.insert(upstream.address, upstream.service.clone());
        if self.services.len() > MAX_ADDRESSES {
            self.services.shift_remove_index(0);
        }
    }

    /// Returns whether a worker is likely to have a copy.
    #[must_use]
    pub fn contains(&self, upstream: &upstream::Upstream) -> bool {
        self.services.get(&upstream.address) == Some(&upstream.service)
    }
}
