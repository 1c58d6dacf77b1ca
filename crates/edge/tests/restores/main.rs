//! Simulation of daemons on a store that is restored from older copies.

mod judge;
mod simulation;
mod store;
#[path = "../support/mod.rs"]
mod support;

use simulation::Simulation;

const SEEDS: u64 = 60;
const FIRST_SEED: u64 = 20_261_207;
/// Seeds that failed before, with the cause.
///
/// 1016: a renewal waited for other calls to the store, and its expiry in the row was earlier than for its holder.
const REGRESSION_SEEDS: [u64; 1] = [1016];

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

/// Guards against two holders of a worker, and against lower fencing tokens than before, after restores of the
/// store in any order with pauses, cuts, restarts and stops of daemons and late calls to the store.
///
/// `JASMINETACK_RESTORE_SEEDS` sets the number of seeds, `JASMINETACK_RESTORE_FIRST` the first one.
#[test]
fn a_worker_never_has_two_holders_after_restores_of_the_store() {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let first = setting("JASMINETACK_RESTORE_FIRST", FIRST_SEED);
    let seeds = setting("JASMINETACK_RESTORE_SEEDS", SEEDS);
    let (mut failures, mut calls, mut restores) = (Vec::new(), 0, 0);
    for seed in REGRESSION_SEEDS.into_iter().chain(first..first + seeds) {
        let (problems, made, restored) = Simulation::new(seed).run();
        calls += made;
        restores += restored;
        let problems = problems.into_iter().take(3);
        failures.extend(problems.map(|problem| format!("seed {seed}: {problem}")));
    }
    println!("{seeds} seeds, {restores} restores, {calls} calls to workers");
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
