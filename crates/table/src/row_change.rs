//! Changes of rows as an operator asks for them.

use jasminetack_domain::table;

use crate::assignment;

/// Change of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// Key of the row.
    pub key: table::RowKey,
    /// What becomes of the row.
    pub action: Action,
}

/// What becomes of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Fields are set; a row that does not exist is created.
    Assign(Vec<assignment::Assignment>),
    /// The row is deleted.
    Delete,
}

impl RowChange {
    /// Returns the row after the change.
    ///
    /// # Errors
    ///
    /// Fails when an assignment cannot be made.
    pub fn apply(
        &self,
        current: Option<&table::Row>,
    ) -> Result<Option<table::Row>, assignment::AssignError> {
        let Action::Assign(assignments) = &self.action else { return Ok(None) };
        let blank = || assignment::blank_row(self.key.kind());
        let mut row = current.cloned().unwrap_or_else(blank);
        for assignment in assignments {
            assignment.assign(&mut row)?;
        }
        Ok(Some(row))
    }
}
