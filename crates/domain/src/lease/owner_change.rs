//! Transactions that change the owner of a worker.

use super::OwnerRow;
use crate::name;

/// Preconditions and new row of an ownership change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OwnerChange {
    /// Required version of the owner row; `None` requires that the row is absent.
    pub expected_version: Option<u64>,
    /// Required version of the former owner's session row, when the change relies on that session
    /// having lapsed or ended.
    pub session_condition: Option<(name::HostName, u64)>,
    /// New owner row.
    pub row: OwnerRow,
}
