//! Call counters of the platform.

use serde::{Deserialize, Serialize};

/// Call counters since startup.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counters {
    /// Transactions received.
    pub writes: u64,
    /// Transactions rejected because a condition did not hold.
    pub conflicts: u64,
    /// Read requests, both by key and for pages of changed rows.
    pub reads: u64,
    /// Rows returned by read requests.
    pub rows_read: u64,
    /// Objects written.
    pub object_writes: u64,
    /// Objects read.
    pub object_reads: u64,
    /// Reads of the host list.
    pub host_reads: u64,
    /// Weight downloads completed.
    pub weights: u64,
    /// Maximum number of concurrent weight downloads.
    pub weights_in_flight_max: usize,
    /// Connections closed because of an outage.
    pub refused: u64,
    /// Responses dropped after the write was applied.
    pub lost_replies: u64,
}
