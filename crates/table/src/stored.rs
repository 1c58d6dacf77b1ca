//! Decoding of rows stored by the platform.

use jasminetack_domain::table;
use jasminetack_wire::platform as wire;
use jasminetack_wire::row;

use crate::command_error::CommandError;

/// Returns the storage key of a row.
#[must_use]
pub fn storage_key(key: &table::RowKey) -> String {
    format!("{}{key}", row::ROW_PREFIX)
}

/// Decodes the key and content of a stored row; a deleted row has no content.
///
/// # Errors
///
/// Fails when the row has an unknown kind or format.
pub fn parse(
    stored: &wire::StoredRow,
) -> Result<(table::RowKey, Option<table::Row>), CommandError> {
    let invalid = |message: String| CommandError::Stored { key: stored.key.clone(), message };
    let key = stored.key.strip_prefix(row::ROW_PREFIX).and_then(table::RowKey::parse);
    let key = key.ok_or_else(|| invalid("unknown kind".to_owned()))?;
    let Some(value) = &stored.value else { return Ok((key, None)) };
    let wire: row::WireRow =
        serde_json::from_value(value.clone()).map_err(|error| invalid(error.to_string()))?;
    let parsed = table::Row::try_from(wire).map_err(|error| invalid(error.to_string()))?;
    Ok((key, Some(parsed)))
}

/// Applies stored rows to a table.
///
/// # Errors
///
/// Fails when a row cannot be decoded.
pub fn apply(table: &mut table::Table, rows: &[wire::StoredRow]) -> Result<(), CommandError> {
    for stored in rows {
        let (key, parsed) = parse(stored)?;
        table.apply(key, stored.version, parsed);
    }
    Ok(())
}
