//! The `set` and `apply` commands.

use std::io::{BufRead, Write};

use snafu::{ResultExt, ensure};

use crate::command_error::{self, CommandError};
use crate::commit;
use crate::plan;
use crate::platform;
use crate::row_change;

/// Whether the command writes the edits and asks for confirmation first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteMode {
    /// Show the differences, then write them if the operator confirms the prompt.
    Prompt,
    /// Show the differences and write them without a prompt.
    NoPrompt,
    /// Show and validate the differences, but write nothing.
    DryRun,
}

/// Shows the differences that the changes make and commits them in one transaction.
///
/// # Errors
///
/// Fails when a change is invalid, the operator declines, or the transaction does not commit.
pub fn run<TableService, Input, Output>(
    service: &TableService,
    changes: &[row_change::RowChange],
    author: &commit::Author,
    mode: WriteMode,
    mut input: Input,
    output: &mut Output,
) -> Result<(), CommandError>
where
    TableService: platform::Platform,
    Input: BufRead,
    Output: Write,
{
    let plan = plan::Plan::new(service, changes)?;
    write!(output, "{}", plan.describe()).context(command_error::OutputSnafu)?;
    let edit_count = plan.edits().len();
    if edit_count == 0 {
        return writeln!(output, "no difference").context(command_error::OutputSnafu);
    }
    if mode == WriteMode::DryRun {
        return writeln!(output, "checked {edit_count} rows; nothing was written")
            .context(command_error::OutputSnafu);
    }
    if mode == WriteMode::Prompt {
        write!(output, "write {edit_count} rows? [yes/no] ").context(command_error::OutputSnafu)?;
        output.flush().context(command_error::OutputSnafu)?;
        let mut answer = String::new();
        input.read_line(&mut answer).context(command_error::OutputSnafu)?;
        ensure!(answer.trim() == "yes", command_error::DeclinedSnafu);
    }
    let version = commit::commit(service, &plan, author)?;
    writeln!(output, "wrote {edit_count} rows at version {version}")
        .context(command_error::OutputSnafu)
}
