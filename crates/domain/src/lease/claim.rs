//! Transactions that change an owner.

use super::OwnerRow;
use crate::name;

/// Conditions and result of a change of owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// Version that the owner row must have; `None` when there must be no row.
    pub expected: Option<u64>,
    /// Version that the former owner's session row must have, when the claim relies on its lapse.
    pub session: Option<(name::HostName, u64)>,
    /// The new owner row.
    pub row: OwnerRow,
}
