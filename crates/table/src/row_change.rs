//! Row changes that an operator requests.

use jasminetack_domain::table;

use crate::assignment;

/// Requested change of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// Key of the row.
    pub key: table::RowKey,
    /// Action on the row.
    pub action: Action,
}

/// Action on a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sets fields; creates the row if it does not exist.
    Assign(Vec<assignment::Assignment>),
    /// Deletes the row.
    Delete,
}

impl RowChange {
    /// Returns the row after the change, or `None` if the change deletes it.
    ///
    /// # Errors
    ///
    /// Fails when an assignment is invalid for the row.
    pub fn apply(
        &self,
        current: Option<&table::Row>,
    ) -> Result<Option<table::Row>, assignment::AssignError> {
        let Action::Assign(assignments) = &self.action else { return Ok(None) };
        let default = || assignment::default_row(self.key.kind());
        let mut row = current.cloned().unwrap_or_else(default);
        for assignment in assignments {
            assignment.assign(&mut row)?;
        }
        Ok(Some(row))
    }
}
