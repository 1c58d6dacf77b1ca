//! Rows of the table.

use super::{AdapterRow, Limits, ServiceRow, TeamRow};

/// Row of the table, by kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Row {
    /// Row of an adapter.
    Adapter(AdapterRow),
    /// Row of a team.
    Team(TeamRow),
    /// Row of an app service.
    Service(ServiceRow),
}

impl Row {
    /// Returns the limits of the row.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        match self {
            Self::Adapter(row) => &row.limits,
            Self::Team(row) => &row.limits,
            Self::Service(row) => &row.limits,
        }
    }
}
