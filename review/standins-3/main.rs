//! Stand-ins for the cases that are scripts: the platform's store, workers and clients.

mod engine;
mod fleet;
mod http;
mod json;
mod large_bodies;
mod slow_readers;
mod store;
mod system;
mod two_models;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Exit code of a case that could not run.
const COULD_NOT_RUN: u8 = 2;
/// A case may run for 120 s.
const LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let record = PathBuf::from(arguments.next().unwrap_or_default());
    let directory = PathBuf::from(arguments.next().unwrap_or_default());
    fleet::end_after(LIMIT, i32::from(COULD_NOT_RUN));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let broken = match case.as_str() {
        "large-bodies" => large_bodies::run(&record, &directory, has_trouble),
        "two-models" => two_models::run(&record, &directory, has_trouble),
        "slow-readers" => slow_readers::run(&record, &directory, has_trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match broken {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}
