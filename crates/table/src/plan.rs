//! Validated sets of edits, based on the current rows.

use std::fmt::Write;

use jasminetack_domain::table;
use jasminetack_wire::platform as wire;
use jasminetack_wire::row;
use snafu::{ResultExt, ensure};

use crate::command_error::{self, CommandError};
use crate::platform;
use crate::row_change;
use crate::stored;
use crate::text;

/// Validated edits, and the row versions that the transaction requires.
#[derive(Debug)]
pub struct Plan {
    edits: Vec<table::Edit>,
    conditions: Vec<wire::Condition>,
}

impl Plan {
    /// Computes the edits from the current rows and validates them together.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be read, or when a change is invalid.
    pub fn new<TableService>(
        service: &TableService,
        changes: &[row_change::RowChange],
    ) -> Result<Self, CommandError>
    where
        TableService: platform::Platform,
    {
        let table = read_required_rows(service, changes)?;
        let mut edits = Vec::new();
        for change in changes {
            let current = table.row(&change.key).map(|(_, row)| row.as_ref());
            let row = change.apply(current).map_err(|error| CommandError::Input {
                message: format!("{}: {error}", change.key),
            })?;
            edits.push(table::Edit::new(&table, change.key.clone(), row));
        }
        table::check_edits(&table, &edits)
            .map_err(|problems| CommandError::Refused { problems })?;
        edits.retain(|edit| !edit.differences().is_empty());
        let conditions = version_conditions(&table, &edits);
        Ok(Self { edits, conditions })
    }

    /// Returns the edits that change a row.
    #[must_use]
    pub fn edits(&self) -> &[table::Edit] {
        &self.edits
    }

    /// Returns the row versions that the transaction requires.
    #[must_use]
    pub fn conditions(&self) -> &[wire::Condition] {
        &self.conditions
    }

    /// Formats the differences that the edits make.
    #[must_use]
    pub fn describe(&self) -> String {
        self.edits.iter().map(text::format_edit).collect()
    }

    /// Formats the requested and the current row of each conflict.
    ///
    /// # Errors
    ///
    /// Fails when a stored row cannot be decoded.
    pub fn describe_conflict(&self, rows: &[wire::StoredRow]) -> Result<String, CommandError> {
        let mut description = String::new();
        for stored in rows.iter().filter(|stored| stored.key.starts_with(row::ROW_PREFIX)) {
            let (key, current) = stored::parse(stored)?;
            let line = |row: Option<&table::Row>| {
                row.map_or_else(|| "deleted".to_owned(), text::format_row)
            };
            let edit = self.edits.iter().find(|edit| *edit.key() == key);
            let requested = edit.map_or_else(
                || "(not edited, but the edit depends on it)".to_owned(),
                |edit| line(edit.new_row()),
            );
            // Writing to a string does not fail.
            let _ = writeln!(
                description,
                "{key}\n  yours: {requested}\n  now at version {}: {}",
                stored.version,
                line(current.as_ref()),
            );
        }
        Ok(description)
    }
}

/// Reads only the rows that the changes and their validation need.
fn read_required_rows<TableService>(
    service: &TableService,
    changes: &[row_change::RowChange],
) -> Result<table::Table, CommandError>
where
    TableService: platform::Platform,
{
    ensure!(!changes.is_empty(), command_error::InputSnafu { message: "there are no changes" });
    let keys = changes.iter().map(|change| stored::storage_key(&change.key)).collect();
    let mut table = table::Table::default();
    let page = service.read(&wire::ReadRequest { keys }).context(command_error::PlatformSnafu)?;
    stored::apply(&mut table, &page.rows)?;
    let teams = service.rows(&kind_prefix(table::RowKind::Team), 0);
    stored::apply(&mut table, &teams.context(command_error::PlatformSnafu)?.rows)?;
    let deletes_team = changes.iter().any(|change| {
        change.key.kind() == table::RowKind::Team && change.action == row_change::Action::Delete
    });
    if deletes_team {
        let adapters = service.rows(&kind_prefix(table::RowKind::Adapter), 0);
        stored::apply(&mut table, &adapters.context(command_error::PlatformSnafu)?.rows)?;
    }
    Ok(table)
}

fn version_conditions(table: &table::Table, edits: &[table::Edit]) -> Vec<wire::Condition> {
    let mut conditions = Vec::<wire::Condition>::new();
    for edit in edits {
        let key = stored::storage_key(edit.key());
        conditions.push(wire::Condition { key, version: edit.expected_version() });
    }
    for team in edits.iter().filter_map(table::Edit::required_team) {
        let key = stored::storage_key(&team);
        if conditions.iter().any(|condition| condition.key == key) {
            continue;
        }
        let version = table.row(&team).map(|(version, _)| version);
        conditions.push(wire::Condition { key, version });
    }
    conditions
}

fn kind_prefix(kind: table::RowKind) -> String {
    format!("{}{}/", row::ROW_PREFIX, kind.as_str())
}
