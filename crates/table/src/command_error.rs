//! Errors of commands and their exit codes.

use std::fmt::Write;

use jasminetack_domain::table;
use jasminetack_program::settings;

use crate::platform;

/// Error of a command; the message tells the operator what to do.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CommandError {
    /// The output could not be written.
    #[snafu(display("cannot write the output: {source}"))]
    Output {
        /// Cause.
        source: std::io::Error,
    },
    /// The operator declined the confirmation prompt.
    #[snafu(display("nothing was written; answer yes, or pass --yes"))]
    Declined,
    /// A setting is missing or invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// Cause.
        source: settings::InvalidSettings,
    },
    /// An argument or an input file is invalid.
    #[snafu(display("{message}"))]
    Input {
        /// Description of the problem and its remedy.
        message: String,
    },
    /// Validation rejected the edits.
    #[snafu(display("nothing was written:{}", format_problems(problems)))]
    Refused {
        /// Problems found.
        problems: Vec<table::EditError>,
    },
    /// A row was changed concurrently.
    #[snafu(display(
        "conflict; nothing was written:\n{text}run the command again to decide on the rows as \
         they stand"
    ))]
    Conflict {
        /// Requested and current row of each conflict.
        text: String,
    },
    /// The platform is unreachable.
    #[snafu(display(
        "the platform cannot be reached ({source}); nothing was written; check --platform-url and \
         --platform-key, then run the command again"
    ))]
    Platform {
        /// Cause.
        source: platform::CallError,
    },
    /// The outcome of a transaction is unknown.
    #[snafu(display(
        "it is unknown whether the edit was written ({message}); run `history {key}` and look for \
         {token} before you repeat it"
    ))]
    Unknown {
        /// Error of the last attempt.
        message: String,
        /// Key of the first row that the transaction edits.
        key: table::RowKey,
        /// Token that identifies the edit in the history.
        token: String,
    },
    /// A stored row could not be decoded.
    #[snafu(display("row {key} is not valid: {message}; update this program"))]
    Stored {
        /// Key of the row.
        key: String,
        /// Error of the decoder.
        message: String,
    },
    /// At least one host has not confirmed every change.
    #[snafu(display("{hosts} of the hosts have not confirmed every change; run `status` again"))]
    NotConfirmed {
        /// Number of these hosts.
        hosts: usize,
    },
    /// Nothing was found to show.
    #[snafu(display("{message}"))]
    NotFound {
        /// Description of what was searched for, and a hint.
        message: String,
    },
}

impl CommandError {
    /// Returns the exit code, as documented in `--help`.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Output { .. } | Self::Declined | Self::Stored { .. } => 1,
            Self::Settings { .. } | Self::Input { .. } => 2,
            Self::Refused { .. } => 3,
            Self::Conflict { .. } => 4,
            Self::Platform { .. } => 5,
            Self::Unknown { .. } => 6,
            Self::NotConfirmed { .. } => 7,
            Self::NotFound { .. } => 8,
        }
    }
}

fn format_problems(problems: &[table::EditError]) -> String {
    let mut text = String::new();
    for problem in problems {
        // Writing to a string does not fail.
        let _ = write!(text, "\n  {problem}");
    }
    text
}
