//! Choice of the command.

use std::fs;
use std::io::{self, BufRead, Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jasminetack_domain::table;
use snafu::ResultExt;

use crate::assignment;
use crate::command_error::{self, CommandError};
use crate::commands::{explain, history, show, status, write};
use crate::commit;
use crate::file;
use crate::flags;
use crate::platform;
use crate::row_change;
use crate::settings;

/// Pause before a transaction whose reply was lost is sent again.
const RETRY_PAUSE_MS: u64 = 200;

/// Runs the command that the flags name.
///
/// # Errors
///
/// Fails as the command does; the error has an exit code.
pub fn run<Input, Output>(
    flags: flags::JasminetackTable,
    mut input: Input,
    output: &mut Output,
) -> Result<(), CommandError>
where
    Input: BufRead,
    Output: Write,
{
    let settings = settings::Settings::new(&flags).context(command_error::SettingsSnafu)?;
    if flags.check {
        return write!(output, "{}", settings.description).context(command_error::OutputSnafu);
    }
    let service = platform::HttpPlatform::new(&settings);
    match flags.subcommand {
        flags::JasminetackTableCmd::Show(flags) => {
            show::run(&service, flags.row.as_deref(), output)
        }
        flags::JasminetackTableCmd::Set(flags) => {
            let consent =
                if flags.dry_run { write::Consent::DryRun } else { write::Consent::Given };
            let changes = [row_change(flags, &mut input)?];
            write::run(&service, &changes, &author(&settings), consent, input, output)
        }
        flags::JasminetackTableCmd::Apply(flags) => {
            let consent = match (flags.dry_run, flags.yes) {
                (true, _) => write::Consent::DryRun,
                (false, true) => write::Consent::Given,
                (false, false) => write::Consent::Ask,
            };
            let changes = file::read(&flags.file)
                .map_err(|error| CommandError::Input { message: error.to_string() })?;
            write::run(&service, &changes, &author(&settings), consent, input, output)
        }
        flags::JasminetackTableCmd::History(flags) => {
            history::run(&service, flags.row.as_deref(), output)
        }
        flags::JasminetackTableCmd::Status(flags) => {
            let wait_ms = flags.wait_ms.as_deref().unwrap_or("0").parse().map_err(|_| {
                let message = "--wait-ms must be a number of milliseconds".to_owned();
                CommandError::Input { message }
            })?;
            status::run_within(&service, output, Duration::from_millis(wait_ms))
        }
        flags::JasminetackTableCmd::Explain(flags) => {
            explain_request(&service, &settings, &flags, output)
        }
    }
}

fn row_change<Input>(
    flags: flags::Set,
    input: &mut Input,
) -> Result<row_change::RowChange, CommandError>
where
    Input: Read,
{
    let wrong = |message: String| CommandError::Input { message };
    let key = table::RowKey::parse(&flags.row).ok_or_else(|| {
        wrong(format!("{:?} is not adapter/NAME, team/NAME or service/NAME", flags.row))
    })?;
    if flags.delete != flags.assignments.is_empty() {
        return Err(wrong("give either --delete or one or more FIELD=VALUE".to_owned()));
    }
    if flags.delete {
        return Ok(row_change::RowChange { key, action: row_change::Action::Delete });
    }
    let mut assignments = Vec::new();
    for text in &flags.assignments {
        let mut assignment =
            assignment::Assignment::parse(text).map_err(|error| wrong(error.to_string()))?;
        if assignment.field == "add-key" {
            assignment.value = key_text(&assignment.value, input)
                .map_err(|error| wrong(format!("cannot read the key: {error}")))?;
        }
        assignments.push(assignment);
    }
    Ok(row_change::RowChange { key, action: row_change::Action::Assign(assignments) })
}

/// Reads a key from standard input or a file, since arguments are visible to other processes.
fn key_text<Input>(value: &str, input: &mut Input) -> io::Result<String>
where
    Input: Read,
{
    if let Some(path) = value.strip_prefix('@') {
        return fs::read_to_string(path);
    }
    if value != "-" {
        return Ok(value.to_owned());
    }
    let mut text = String::new();
    input.read_to_string(&mut text)?;
    Ok(text)
}

fn explain_request<TableService, Output>(
    service: &TableService,
    settings: &settings::Settings,
    flags: &flags::Explain,
    output: &mut Output,
) -> Result<(), CommandError>
where
    TableService: platform::Platform,
    Output: Write,
{
    let mut addresses = Vec::new();
    for text in &flags.daemon {
        let address: SocketAddr = text.parse().map_err(|_| CommandError::Input {
            message: format!("--daemon {text:?} is not IP:PORT"),
        })?;
        addresses.push(address);
    }
    match explain::daemons(service) {
        Ok(found) => addresses.extend(found),
        // Named daemons can be asked while the platform is out.
        Err(_) if !addresses.is_empty() => {}
        Err(error) => return Err(error),
    }
    addresses.sort_unstable();
    addresses.dedup();
    let timeout = Duration::from_millis(settings.call_timeout_ms);
    let (answers, unreachable) = explain::ask(&addresses, &flags.request_id, timeout);
    explain::show(&flags.request_id, &answers, &unreachable, output)
}

fn author(settings: &settings::Settings) -> commit::Author {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    commit::Author {
        operator: settings.operator.clone(),
        at_unix_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        nonce: rand::random(),
        attempts: settings.attempts,
        pause_ms: RETRY_PAUSE_MS,
    }
}
