//! Entry point of the `jasminetack-entry` daemon.

use std::process::ExitCode;

use jasminetack_entry::daemon;
use jasminetack_entry::settings;

fn main() -> ExitCode {
    let settings = match settings::Settings::from_environment() {
        Ok(settings) => settings,
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::from(2);
        }
    };
    if settings.check_only {
        print!("{}", settings.description);
        return ExitCode::SUCCESS;
    }
    match daemon::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
