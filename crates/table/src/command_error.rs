//! Failures of commands and their exit codes.

use std::fmt::Write;

use jasminetack_domain::table;
use jasminetack_program::settings;

use crate::platform;

/// Why a command failed; the text says what to do.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CommandError {
    /// The output cannot be written.
    #[snafu(display("cannot write the output: {source}"))]
    Output {
        /// Cause.
        source: std::io::Error,
    },
    /// The operator did not agree.
    #[snafu(display("nothing was written; answer yes, or pass --yes"))]
    Declined,
    /// The settings are wrong.
    #[snafu(display("{source}"))]
    Settings {
        /// Cause.
        source: settings::InvalidSettings,
    },
    /// An argument or a file is wrong.
    #[snafu(display("{message}"))]
    Input {
        /// What is wrong and what to do.
        message: String,
    },
    /// The checks found problems.
    #[snafu(display("nothing was written:{}", list(problems)))]
    Refused {
        /// The problems.
        problems: Vec<table::EditError>,
    },
    /// A row was changed by someone else.
    #[snafu(display(
        "conflict; nothing was written:\n{text}run the command again to decide on the rows as \
         they stand"
    ))]
    Conflict {
        /// Both rows of each conflict.
        text: String,
    },
    /// The platform cannot be reached.
    #[snafu(display(
        "the platform cannot be reached ({source}); nothing was written; check --platform-url and \
         --platform-key, then run the command again"
    ))]
    Platform {
        /// Cause.
        source: platform::CallError,
    },
    /// The result of a transaction is not known.
    #[snafu(display(
        "it is unknown whether the edit was written ({message}); run `history {key}` and look for \
         {token} before you repeat it"
    ))]
    Unknown {
        /// What happened last.
        message: String,
        /// A row of the edit.
        key: table::RowKey,
        /// Token of the edit in the history.
        token: String,
    },
    /// A stored row cannot be read.
    #[snafu(display("row {key} is not valid: {message}; update this program"))]
    Stored {
        /// Key of the row.
        key: String,
        /// What is wrong.
        message: String,
    },
    /// A host has not confirmed a change.
    #[snafu(display("{hosts} of the hosts have not confirmed every change; run `status` again"))]
    NotConfirmed {
        /// Number of hosts.
        hosts: usize,
    },
    /// There is nothing to show.
    #[snafu(display("{message}"))]
    NotFound {
        /// What was looked for and what to do.
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

fn list(problems: &[table::EditError]) -> String {
    let mut text = String::new();
    for problem in problems {
        // Writing to a string does not fail.
        let _ = write!(text, "\n  {problem}");
    }
    text
}
