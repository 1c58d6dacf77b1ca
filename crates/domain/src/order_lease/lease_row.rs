//! Row of a daemon's lease.

use std::net::SocketAddr;

use crate::locality;
use crate::name;

/// Lease of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRow {
    /// The daemon.
    pub host: name::HostName,
    /// Where other daemons reach it.
    pub address: SocketAddr,
    /// Region and failure domain of the daemon.
    pub place: locality::Locality,
    /// Time of the store's clock from which the daemon gives no orders.
    pub expires_store_ms: u64,
}

impl LeaseRow {
    /// Returns whether the workers of this lease may be taken over.
    #[must_use]
    pub fn is_free(&self, guard_ms: u64, store_now_ms: u64) -> bool {
        store_now_ms >= self.expires_store_ms.saturating_add(guard_ms)
    }
}
