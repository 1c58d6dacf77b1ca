//! Stand-ins and drivers of the scripted cases.
//!
//! `harness CASE RECORD` runs a case and exits with 1 if the rule was broken, 0 if it held and 2 if the
//! case could not run. `harness worker ...` is one worker.

mod drafts;
mod extra_answer;
mod fleet;
mod http;
mod json;
mod killed_fleet;
mod late_orders;
mod part_bursts;
mod store;
mod worker;
mod zone_crashes;

use std::process::exit;
use std::time::Duration;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let argument = |index: usize| arguments.get(index).cloned().unwrap_or_default();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = match argument(1).as_str() {
        "worker" => {
            let number = |index: usize| argument(index).parse().unwrap_or(0);
            worker::run(worker::Settings {
                address: argument(2),
                id: argument(3),
                model: argument(4),
                has_model: argument(5) == "true",
                work: Duration::from_millis(number(6)),
                extra_every: number(7) as u32,
                deadly_part: argument(8),
            });
            return;
        }
        "extra-answer" => extra_answer::run,
        "killed-fleet" => killed_fleet::run,
        "late-orders" => late_orders::run,
        "part-bursts" => part_bursts::run,
        "zone-crashes" => zone_crashes::run,
        _ => exit(2),
    };
    match run(&argument(2), has_trouble) {
        None => exit(2),
        Some(is_broken) => exit(i32::from(is_broken)),
    }
}
