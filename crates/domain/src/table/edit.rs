//! Edits of the operators' table.

use std::sync::Arc;

use super::{Difference, EditError, Row, RowKey, RowKind, Table, edit_validation};

/// Conditional replacement of one row, based on the row that the table held.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    key: RowKey,
    expected_version: Option<u64>,
    old: Option<Arc<Row>>,
    new: Option<Row>,
}

impl Edit {
    /// Creates an edit of the row that `table` holds under `key`; `None` deletes the row.
    #[must_use]
    pub fn new(table: &Table, key: RowKey, new: Option<Row>) -> Self {
        let current = table.row(&key);
        let expected_version = current.map(|(version, _)| version);
        let old = current.map(|(_, row)| Arc::clone(row));
        Self { key, expected_version, old, new }
    }

    /// Returns the key of the row.
    #[must_use]
    pub fn key(&self) -> &RowKey {
        &self.key
    }

    /// Returns the version that the row must have when the edit is committed; `None` when it must
    /// not exist.
    #[must_use]
    pub fn expected_version(&self) -> Option<u64> {
        self.expected_version
    }

    /// Returns the row that the edit replaces.
    #[must_use]
    pub fn old(&self) -> Option<&Row> {
        self.old.as_deref()
    }

    /// Returns the row after the edit.
    #[must_use]
    pub fn new_row(&self) -> Option<&Row> {
        self.new.as_ref()
    }

    /// Returns the changes of the edit, field by field.
    #[must_use]
    pub fn differences(&self) -> Vec<Difference> {
        Difference::between(self.old(), self.new_row())
    }

    /// Returns the key of the team whose row must still exist when the edit is committed.
    ///
    /// Only an edit that creates an adapter or moves it to another team requires one.
    #[must_use]
    pub fn required_team(&self) -> Option<RowKey> {
        let Some(Row::Adapter(new)) = &self.new else { return None };
        if let Some(Row::Adapter(old)) = self.old()
            && old.team == new.team
        {
            return None;
        }
        Some(RowKey::new(RowKind::Team, new.team.as_str()))
    }
}

/// Validates a set of edits against the table that they are based on.
///
/// # Errors
///
/// Fails with the errors of all edits; if one edit is invalid, none must be written.
pub fn check_edits(table: &Table, edits: &[Edit]) -> Result<(), Vec<EditError>> {
    let mut errors = Vec::new();
    for edit in edits {
        let to_error = |kind| EditError { key: edit.key.clone(), kind };
        errors.extend(edit_validation::validate_row(edit).into_iter().map(to_error));
    }
    edit_validation::validate_set(table, edits, &mut errors);
    if errors.is_empty() {
        return Ok(());
    }
    Err(errors)
}
