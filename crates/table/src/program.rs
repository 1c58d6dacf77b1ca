//! Dispatch to the commands.

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

/// Delay before a transaction whose reply was lost is sent again.
const RETRY_DELAY_MS: u64 = 200;

/// Runs the command selected by the flags.
///
/// # Errors
///
/// Returns the error of the command, which has an exit code.
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
            let mode =
                if flags.dry_run { write::WriteMode::DryRun } else { write::WriteMode::NoPrompt };
            let changes = [parse_row_change(flags, &mut input)?];
            write::run(&service, &changes, &new_author(&settings), mode, input, output)
        }
        flags::JasminetackTableCmd::Apply(flags) => {
            let mode = match (flags.dry_run, flags.yes) {
                (true, _) => write::WriteMode::DryRun,
                (false, true) => write::WriteMode::NoPrompt,
                (false, false) => write::WriteMode::Prompt,
            };
            let changes = file::read(&flags.file)
                .map_err(|error| CommandError::Input { message: error.to_string() })?;
            write::run(&service, &changes, &new_author(&settings), mode, input, output)
        }
        flags::JasminetackTableCmd::History(flags) => {
            history::run(&service, flags.row.as_deref(), output)
        }
        flags::JasminetackTableCmd::Status(flags) => {
            let wait_ms = flags.wait_ms.as_deref().unwrap_or("0").parse().map_err(|_| {
                let message = "--wait-ms must be a number of milliseconds".to_owned();
                CommandError::Input { message }
            })?;
            status::run_with_timeout(&service, output, Duration::from_millis(wait_ms))
        }
        flags::JasminetackTableCmd::Explain(flags) => {
            explain_request(&service, &settings, &flags, output)
        }
    }
}

fn parse_row_change<Input>(
    flags: flags::Set,
    input: &mut Input,
) -> Result<row_change::RowChange, CommandError>
where
    Input: Read,
{
    let input_error = |message: String| CommandError::Input { message };
    let key = table::RowKey::parse(&flags.row).ok_or_else(|| {
        input_error(format!("{:?} is not adapter/NAME, team/NAME or service/NAME", flags.row))
    })?;
    if flags.delete != flags.assignments.is_empty() {
        return Err(input_error("give either --delete or one or more FIELD=VALUE".to_owned()));
    }
    if flags.delete {
        return Ok(row_change::RowChange { key, action: row_change::Action::Delete });
    }
    let mut assignments = Vec::new();
    for text in &flags.assignments {
        let mut assignment =
            assignment::Assignment::parse(text).map_err(|error| input_error(error.to_string()))?;
        if assignment.field == "add-key" {
            assignment.value = read_key(&assignment.value, input)
                .map_err(|error| input_error(format!("cannot read the key: {error}")))?;
        }
        assignments.push(assignment);
    }
    Ok(row_change::RowChange { key, action: row_change::Action::Assign(assignments) })
}

/// Returns the value of `add-key`, read from standard input for `-` or from a file for `@FILE`.
///
/// Arguments are visible to other processes, so a key should not be given as one.
fn read_key<Input>(value: &str, input: &mut Input) -> io::Result<String>
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
    match explain::serving_daemons(service) {
        Ok(found) => addresses.extend(found),
        // Daemons given with --daemon can be queried while the platform is unreachable.
        Err(_) if !addresses.is_empty() => {}
        Err(error) => return Err(error),
    }
    addresses.sort_unstable();
    addresses.dedup();
    let timeout = Duration::from_millis(settings.call_timeout_ms);
    let (responses, unreachable) = explain::query_daemons(&addresses, &flags.request_id, timeout);
    explain::show(&flags.request_id, &responses, &unreachable, output)
}

fn new_author(settings: &settings::Settings) -> commit::Author {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    commit::Author {
        operator: settings.operator.clone(),
        at_unix_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        nonce: rand::random(),
        max_attempts: settings.attempts,
        retry_delay_ms: RETRY_DELAY_MS,
    }
}
