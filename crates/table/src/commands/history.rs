//! The `history` command.

use std::io::Write;

use jasminetack_domain::table;
use jasminetack_wire::history;
use jasminetack_wire::platform as wire;
use snafu::{ResultExt, ensure};

use crate::command_error::{self, CommandError};
use crate::platform;
use crate::text;

/// Writes the history of one row or of all rows, oldest change first.
///
/// # Errors
///
/// Fails when the platform cannot be read or no history is found.
pub fn run<TableService, Output>(
    service: &TableService,
    requested: Option<&str>,
    output: &mut Output,
) -> Result<(), CommandError>
where
    TableService: platform::Platform,
    Output: Write,
{
    let prefix = match requested {
        None => history::HISTORY_PREFIX.to_owned(),
        Some(text) => {
            let key = table::RowKey::parse(text).ok_or_else(|| CommandError::Input {
                message: format!("{text:?} is not KIND/NAME"),
            })?;
            format!("{}{key}/", history::HISTORY_PREFIX)
        }
    };
    let rows = service.rows(&prefix, 0).context(command_error::PlatformSnafu)?.rows;
    let message = "there is no history; check the name with `show`";
    ensure!(!rows.is_empty(), command_error::NotFoundSnafu { message });
    for stored in &rows {
        write_change(stored, output)?;
    }
    Ok(())
}

fn write_change<Output>(stored: &wire::StoredRow, output: &mut Output) -> Result<(), CommandError>
where
    Output: Write,
{
    let invalid = |message: String| CommandError::Stored { key: stored.key.clone(), message };
    let Some(value) = &stored.value else { return Ok(()) };
    let change: history::HistoryRow =
        serde_json::from_value(value.clone()).map_err(|error| invalid(error.to_string()))?;
    let decode = |row: Option<_>| row.map(table::Row::try_from).transpose();
    let old = decode(change.old).map_err(|error| invalid(error.to_string()))?;
    let new = decode(change.new).map_err(|error| invalid(error.to_string()))?;
    let (key, token) = stored.key.rsplit_once('/').unwrap_or((&stored.key, ""));
    let key = key.strip_prefix(history::HISTORY_PREFIX).unwrap_or(key);
    let (version, operator) = (stored.version, &change.operator);
    writeln!(output, "version {version} {key} by {operator} token={token}")
        .context(command_error::OutputSnafu)?;
    for difference in table::Difference::between(old.as_ref(), new.as_ref()) {
        let line = text::format_difference(&difference);
        writeln!(output, "  {line}").context(command_error::OutputSnafu)?;
    }
    Ok(())
}
