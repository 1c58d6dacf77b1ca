//! Command `status`.

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use jasminetack_wire::lease_row;
use jasminetack_wire::row;
use snafu::ResultExt;

use crate::command_error::{self, CommandError};
use crate::platform;
use crate::session_view;

/// Interval of looking again while hosts have not confirmed.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Shows where changes are in force, once every host has confirmed them or after a time.
///
/// Daemons confirm with the renewals of their sessions, so a change is in force before that shows.
///
/// # Errors
///
/// Fails when the platform cannot be read or a host has not confirmed a change in time.
pub fn run_within<TableService, Output>(
    service: &TableService,
    output: &mut Output,
    wait: Duration,
) -> Result<(), CommandError>
where
    TableService: platform::Platform,
    Output: Write,
{
    let end = Instant::now() + wait;
    loop {
        let mut text = Vec::new();
        let result = run(service, &mut text);
        let may_change = matches!(result, Err(CommandError::NotConfirmed { .. }));
        if may_change && Instant::now() < end {
            thread::sleep(LOOK_INTERVAL);
            continue;
        }
        output.write_all(&text).context(command_error::OutputSnafu)?;
        return result;
    }
}

/// Shows where changes are in force and which hosts have not confirmed them.
///
/// # Errors
///
/// Fails when the platform cannot be read or a host has not confirmed a change.
pub fn run<TableService, Output>(
    service: &TableService,
    output: &mut Output,
) -> Result<(), CommandError>
where
    TableService: platform::Platform,
    Output: Write,
{
    let page = service.rows(lease_row::SESSION_PREFIX, 0).context(command_error::PlatformSnafu)?;
    let mut sessions = Vec::new();
    for stored in &page.rows {
        sessions.extend(session_view::SessionView::parse(stored)?);
    }
    sessions.sort_by(|left, right| left.host.cmp(&right.host));
    let serving = || sessions.iter().filter(|session| session.serves());
    // Only changes after the lowest version in force can be missing anywhere.
    let lowest = serving().map(|session| session.table_version).min().unwrap_or(0);
    let page = service.rows(row::ROW_PREFIX, lowest).context(command_error::PlatformSnafu)?;
    let mut text = format!("table head {}\n", page.head_version);
    let mut behind = 0;
    for session in &sessions {
        let version = session.table_version;
        let missing = page.rows.iter().filter(|row| row.version > version).count();
        let note = if !session.serves() {
            "does not serve".to_owned()
        } else if missing == 0 {
            "confirmed".to_owned()
        } else {
            behind += 1;
            format!("{missing} changes not confirmed")
        };
        text.push_str(&format!(
            "{} {} version in force {version}: {note}\n",
            session.host, session.state
        ));
    }
    for stored in &page.rows {
        let missing = serving().filter(|session| session.table_version < stored.version);
        let hosts: Vec<_> = missing.map(|session| session.host.as_str()).collect();
        if hosts.is_empty() {
            continue;
        }
        let key = stored.key.strip_prefix(row::ROW_PREFIX).unwrap_or(&stored.key);
        let hosts = hosts.join(", ");
        text.push_str(&format!("{key} version {}: not in force on {hosts}\n", stored.version));
    }
    if serving().next().is_none() {
        text.push_str("no daemon serves\n");
    }
    output.write_all(text.as_bytes()).context(command_error::OutputSnafu)?;
    if behind > 0 {
        return Err(CommandError::NotConfirmed { hosts: behind });
    }
    Ok(())
}
