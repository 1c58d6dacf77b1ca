//! What a holder tells the home of a row.

use crate::name;
use crate::table;

/// A message of a holder to the home of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Daemon that is the home of the row.
    pub home: name::HostName,
    /// The row.
    pub row: table::RowKey,
    /// What the holder wants.
    pub action: Action,
}

/// What a holder wants of a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// One more permit.
    Request,
    /// To return permits.
    Release(u32),
    /// To let a new home know how many permits it uses.
    Register(u32),
}
