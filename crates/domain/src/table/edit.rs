//! Edits of the operators' table.

use std::sync::Arc;

use super::{Difference, EditProblem, Row, RowKey, RowKind, Table, edit_rules};

/// Replacement of one row, decided on the row that was in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    key: RowKey,
    expected_version: Option<u64>,
    old: Option<Arc<Row>>,
    new: Option<Row>,
}

impl Edit {
    /// Creates an edit on the row that a table holds; `None` deletes it.
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

    /// Returns the version that the row must have; `None` when it must not exist.
    #[must_use]
    pub fn expected_version(&self) -> Option<u64> {
        self.expected_version
    }

    /// Returns the row in force when the edit was decided.
    #[must_use]
    pub fn old(&self) -> Option<&Row> {
        self.old.as_deref()
    }

    /// Returns the row after the edit.
    #[must_use]
    pub fn new_row(&self) -> Option<&Row> {
        self.new.as_ref()
    }

    /// Lists what the edit changes.
    #[must_use]
    pub fn differences(&self) -> Vec<Difference> {
        Difference::between(self.old(), self.new_row())
    }

    /// Returns the key of the team that must not vanish while the edit is written.
    ///
    /// Only an edit that attaches an adapter to a team depends on it.
    #[must_use]
    pub fn depends_on(&self) -> Option<RowKey> {
        let Some(Row::Adapter(new)) = &self.new else { return None };
        if let Some(Row::Adapter(old)) = self.old()
            && old.team == new.team
        {
            return None;
        }
        Some(RowKey::new(RowKind::Team, new.team.as_str()))
    }
}

/// Checks a set of edits against the table that they were decided on.
///
/// # Errors
///
/// Fails with all problems of all edits, so that nothing is written when one edit is wrong.
pub fn check_edits(table: &Table, edits: &[Edit]) -> Result<(), Vec<EditProblem>> {
    let mut problems = Vec::new();
    for edit in edits {
        let report = |rule| EditProblem { key: edit.key.clone(), rule };
        problems.extend(edit_rules::row_rules(edit).into_iter().map(report));
    }
    edit_rules::set_rules(table, edits, &mut problems);
    if problems.is_empty() {
        return Ok(());
    }
    Err(problems)
}
