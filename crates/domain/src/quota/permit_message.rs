//! Messages from holders to home daemons.

use crate::name;
use crate::table;

/// Message from a holder to the home of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitMessage {
    /// Home of the row, to which the message is addressed.
    pub home: name::HostName,
    /// Row whose permits the message concerns.
    pub row: table::RowKey,
    /// Requested action.
    pub action: Action,
}

/// Action that a holder requests from a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Requests one more permit.
    Request,
    /// Returns a number of permits.
    Release(u32),
    /// Reports the number of permits held to a new home.
    Register(u32),
}
