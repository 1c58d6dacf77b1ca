//! Replay of a service with few slots behind many daemons, without a network.

mod asking;
mod simulation;

use simulation::{Event, Outcome, RUN_MS, Replay};

fn share(count: usize, outcome: &Outcome) -> f64 {
    count as f64 / outcome.calls as f64
}

/// Guards against daemons that send to full workers while others have free slots.
#[test]
fn credits_keep_calls_away_from_full_workers_at_half_load() {
    for seed in 1..=3 {
        let before = Replay::new(false, seed).run();
        let after = Replay::new(true, seed).run();
        println!("seed={seed} before={before:?} after={after:?}");
        assert!(share(before.rejected, &before) > 0.05, "the load shows the fault: {before:?}");
        assert!(share(after.rejected, &after) < 0.01, "{after:?}");
        assert!(share(after.refused + after.lost, &after) < 0.01, "{after:?}");
    }
}

/// Guards against a service that is not served while its broker is gone.
#[test]
fn calls_are_served_when_the_broker_is_killed() {
    let mut replay = Replay::new(true, 4);
    let broker = replay.broker_of(0, 0, 0).expect("a broker");
    replay.add(RUN_MS / 2, Event::Kill { broker });
    let outcome = replay.run();
    println!("{outcome:?}");
    assert!(share(outcome.lost, &outcome) < 0.01, "{outcome:?}");
    assert!(share(outcome.rejected, &outcome) < 0.03, "{outcome:?}");
}
