//! The `status` command.

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use jasminetack_wire::lease_row;
use jasminetack_wire::row;
use snafu::ResultExt;

use crate::command_error::{self, CommandError};
use crate::platform;
use crate::session_view;

/// Polling interval while hosts have not confirmed every change.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Polls until every host has confirmed every change or the timeout ends, then writes the status.
///
/// Daemons confirm changes when they renew their sessions, so a change takes effect on a host
/// before the status shows it.
///
/// # Errors
///
/// Fails when the platform cannot be read or a host has not confirmed a change within the timeout.
pub fn run_with_timeout<TableService, Output>(
    service: &TableService,
    output: &mut Output,
    timeout: Duration,
) -> Result<(), CommandError>
where
    TableService: platform::Platform,
    Output: Write,
{
    let deadline = Instant::now() + timeout;
    loop {
        let mut text = Vec::new();
        let result = run(service, &mut text);
        let is_unconfirmed = matches!(result, Err(CommandError::NotConfirmed { .. }));
        if is_unconfirmed && Instant::now() < deadline {
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        output.write_all(&text).context(command_error::OutputSnafu)?;
        return result;
    }
}

/// Writes which version each host uses and which hosts have not confirmed a change.
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
    // A change up to the lowest version in use is confirmed by every serving host.
    let lowest_version = serving().map(|session| session.table_version).min().unwrap_or(0);
    let page =
        service.rows(row::ROW_PREFIX, lowest_version).context(command_error::PlatformSnafu)?;
    let mut text = format!("table head {}\n", page.head_version);
    let mut lagging_hosts = 0;
    for session in &sessions {
        let version = session.table_version;
        let unconfirmed = page.rows.iter().filter(|row| row.version > version).count();
        let note = if !session.serves() {
            "does not serve".to_owned()
        } else if unconfirmed == 0 {
            "confirmed".to_owned()
        } else {
            lagging_hosts += 1;
            format!("{unconfirmed} changes not confirmed")
        };
        text.push_str(&format!(
            "{} {} version in force {version}: {note}\n",
            session.host, session.state
        ));
    }
    for stored in &page.rows {
        let unconfirmed = serving().filter(|session| session.table_version < stored.version);
        let hosts: Vec<_> = unconfirmed.map(|session| session.host.as_str()).collect();
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
    if lagging_hosts > 0 {
        return Err(CommandError::NotConfirmed { hosts: lagging_hosts });
    }
    Ok(())
}
