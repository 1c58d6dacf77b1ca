//! The `jasminetack-table` command line, run as a child process.

use std::io;
use std::process::{Child, Command, Output, Stdio};

use crate::platform::{self, Platform};
use crate::program;

/// Starts `jasminetack-table` for an operator.
///
/// # Errors
///
/// Fails when the program cannot be started.
pub fn start(platform: &Platform, operator: &str, arguments: &[&str]) -> io::Result<Child> {
    Command::new(program::target_directory()?.join("jasminetack-table"))
        .args(arguments)
        .env("JASMINETACK_PLATFORM_URL", platform.url())
        .env("JASMINETACK_PLATFORM_KEY", platform::KEY)
        .env("JASMINETACK_OPERATOR", operator)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
}

/// Runs `jasminetack-table` for an operator and returns its output.
///
/// # Errors
///
/// Fails when the program cannot be started.
pub fn run(platform: &Platform, operator: &str, arguments: &[&str]) -> io::Result<Output> {
    start(platform, operator, arguments)?.wait_with_output()
}
