//! Counters of the platform's calls.

use serde::{Deserialize, Serialize};

/// Calls since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counters {
    /// Transactions.
    pub writes: u64,
    /// Transactions that were refused by a condition.
    pub conflicts: u64,
    /// Reads of rows by key and pages of changed rows.
    pub reads: u64,
    /// Rows returned by reads.
    pub rows_read: u64,
    /// Objects written.
    pub object_writes: u64,
    /// Objects read.
    pub object_reads: u64,
    /// Reads of the host list.
    pub host_reads: u64,
    /// Weights delivered.
    pub weights: u64,
    /// Most weights in flight at one time.
    pub weights_in_flight_max: usize,
    /// Connections closed during outages.
    pub refused: u64,
    /// Replies lost after the write took effect.
    pub lost_replies: u64,
}
