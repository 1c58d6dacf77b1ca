//! Stand-ins of the platform's store, of workers and of clients, and the scripts of the cases that use them.
//!
//! The program has no dependencies and is built with `rustc`. The first argument names the case, the second
//! one is the folder for `record.txt`.

mod case_configuration;
mod case_holders;
mod client;
mod daemon;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// Result of a case.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    Failed(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_owned()));
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let record = match Record::create(&folder.join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case={case} trouble={trouble}"));
    let verdict = match case.as_str() {
        "holders" => case_holders::run(&record, &trouble),
        "configuration" => case_configuration::run(&record, &trouble),
        _ => Verdict::Failed(format!("there is no case {case:?}")),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::Failed(problem) => (format!("the case could not run: {problem}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
