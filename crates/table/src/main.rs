//! Entry point of the `jasminetack-table` command line.

use std::env;
use std::io;
use std::process::ExitCode;

use jasminetack_table::flags;
use jasminetack_table::program;

fn main() -> ExitCode {
    // Handled before the flags are parsed, because they require a subcommand.
    if env::args_os().nth(1).is_some_and(|argument| argument == "--version") {
        println!("jasminetack-table {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let flags = flags::JasminetackTable::from_env_or_exit();
    match program::run(flags, io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}
