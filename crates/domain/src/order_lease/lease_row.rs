//! Lease rows.

use std::net::SocketAddr;

use super::EraStart;
use crate::locality;
use crate::name;

/// Row that stores the lease of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRow {
    /// Host of the daemon.
    pub host: name::HostName,
    /// Address on which the daemon accepts connections of other daemons.
    pub address: SocketAddr,
    /// Region and failure domain of the daemon.
    pub place: locality::Locality,
    /// Store time from which the daemon sends no orders.
    pub expires_store_ms: u64,
    /// Era of the store in which the row was written.
    pub era_start: EraStart,
}

impl LeaseRow {
    /// Returns whether other daemons may take over the workers held under this lease.
    #[must_use]
    pub fn can_be_taken_over(&self, guard_ms: u64, store_now_ms: u64) -> bool {
        store_now_ms >= self.expires_store_ms.saturating_add(guard_ms)
    }
}
