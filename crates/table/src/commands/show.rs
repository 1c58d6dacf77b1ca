//! The `show` command.

use std::io::Write;

use jasminetack_domain::table;
use jasminetack_wire::platform as wire;
use jasminetack_wire::row;
use snafu::ResultExt;

use crate::command_error::{self, CommandError};
use crate::platform;
use crate::stored;
use crate::text;

/// Writes one row, the rows of a kind, or the whole table.
///
/// # Errors
///
/// Fails when the platform cannot be read or no row is found.
pub fn run<TableService, Output>(
    service: &TableService,
    requested: Option<&str>,
    output: &mut Output,
) -> Result<(), CommandError>
where
    TableService: platform::Platform,
    Output: Write,
{
    let rows = read_rows(service, requested)?;
    let mut row_count = 0;
    for stored in &rows {
        let (key, Some(parsed)) = stored::parse(stored)? else { continue };
        let line = text::format_row(&parsed);
        writeln!(output, "{key} (version {}) {line}", stored.version)
            .context(command_error::OutputSnafu)?;
        row_count += 1;
    }
    if row_count == 0 {
        let requested = requested.unwrap_or("any kind");
        let message = format!("there is no row {requested}; `show` lists all rows");
        return Err(CommandError::NotFound { message });
    }
    Ok(())
}

fn read_rows<TableService>(
    service: &TableService,
    requested: Option<&str>,
) -> Result<Vec<wire::StoredRow>, CommandError>
where
    TableService: platform::Platform,
{
    if let Some(key) = requested.and_then(table::RowKey::parse) {
        let keys = vec![stored::storage_key(&key)];
        let page = service.read(&wire::ReadRequest { keys });
        return Ok(page.context(command_error::PlatformSnafu)?.rows);
    }
    let prefix = match requested {
        None => row::ROW_PREFIX.to_owned(),
        Some(kind @ ("adapter" | "team" | "service")) => format!("{}{kind}/", row::ROW_PREFIX),
        Some(other) => {
            let message = format!("{other:?} is not a kind or KIND/NAME");
            return Err(CommandError::Input { message });
        }
    };
    let mut rows = service.rows(&prefix, 0).context(command_error::PlatformSnafu)?.rows;
    rows.sort_by(|left, right| left.key.cmp(&right.key));
    Ok(rows)
}
