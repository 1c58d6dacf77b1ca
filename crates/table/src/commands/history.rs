//! Command `history`.

use std::io::Write;

use jasminetack_domain::table;
use jasminetack_wire::history;
use jasminetack_wire::platform as wire;
use snafu::{ResultExt, ensure};

use crate::command_error::{self, CommandError};
use crate::platform;
use crate::text;

/// Shows who changed what, oldest first.
///
/// # Errors
///
/// Fails when the platform cannot be read or there is no history.
pub fn run<TableService, Output>(
    service: &TableService,
    wanted: Option<&str>,
    output: &mut Output,
) -> Result<(), CommandError>
where
    TableService: platform::Platform,
    Output: Write,
{
    let prefix = match wanted {
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
        show(stored, output)?;
    }
    Ok(())
}

fn show<Output>(stored: &wire::StoredRow, output: &mut Output) -> Result<(), CommandError>
where
    Output: Write,
{
    let invalid = |message: String| CommandError::Stored { key: stored.key.clone(), message };
    let Some(value) = &stored.value else { return Ok(()) };
    let change: history::HistoryRow =
        serde_json::from_value(value.clone()).map_err(|error| invalid(error.to_string()))?;
    let parse = |row: Option<_>| row.map(table::Row::try_from).transpose();
    let old = parse(change.old).map_err(|error| invalid(error.to_string()))?;
    let new = parse(change.new).map_err(|error| invalid(error.to_string()))?;
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
