//! Plays the cases of the second review: `standins-2 CASE RECORD`, run in the root of the repository.
//!
//! Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run. With `TROUBLE=0` there is no
//! disruption.

mod app_worker;
mod client;
mod deadly_part;
mod engine_worker;
mod fleet;
mod http;
mod json;
mod late_loads;
mod model_worker;
mod random;
mod record;
mod second_copies;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// Outcome of a case.
pub enum Outcome {
    Held(String),
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        eprintln!("usage: standins-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Arc::new(Record::create(Path::new(path)));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = std::env::temp_dir().join(format!("jasminetack-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let outcome = match case.as_str() {
        "second-copies" => second_copies::play(&folder, &record, has_trouble),
        "deadly-part" => {
            deadly_part::play(&folder, &record, has_trouble, &deadly_part::BESIDE_OTHER_CRASHES)
        }
        "answers-without-length" => {
            deadly_part::play(&folder, &record, has_trouble, &deadly_part::ANSWERS_WITHOUT_LENGTH)
        }
        "late-loads" => late_loads::play(&folder, &record, has_trouble),
        _ => Outcome::NotRun(format!("there is no case {case}")),
    };
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let (code, text) = match outcome {
        Outcome::Held(text) => (0, format!("held {text}")),
        Outcome::Broken(text) => (1, format!("broken {text}")),
        Outcome::NotRun(text) => (2, format!("not-run {text}")),
    };
    record.line(&text);
    record.flush();
    println!("{text}");
    ExitCode::from(code)
}
