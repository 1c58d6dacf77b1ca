//! The operator's command line as a process.

use std::io;
use std::process::{Child, Command, Output, Stdio};

use crate::platform::{self, Platform};
use crate::program;

/// Starts `jasminetack-table` with arguments.
///
/// # Errors
///
/// Fails when the program was not built.
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

/// Runs `jasminetack-table` with arguments to its end.
///
/// # Errors
///
/// Fails when the program was not built.
pub fn run(platform: &Platform, operator: &str, arguments: &[&str]) -> io::Result<Output> {
    start(platform, operator, arguments)?.wait_with_output()
}
