//! Property tests over schedules of kills, restarts, lost responses and late orders.

use jasminetack_domain::placement;
use proptest::prelude::*;

use crate::holder::Holder;
use crate::worker::Worker;

/// Time of the first claim.
const START_MS: u64 = 100_000;

/// What happens to the orders of a step.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Orders are answered.
    Answered,
    /// Orders are executed, and their responses are lost.
    Lost,
    /// Orders are left unanswered and executed after the time.
    Late(u64),
    /// Nothing is answered for two seconds, and each order is executed after the time.
    Silent(u64),
    /// The holder is killed with an order on its way, which is executed after the time.
    Killed(u64),
    /// The worker restarts under its name, which its holder sees.
    Restarted,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => Just(Step::Answered),
        2 => Just(Step::Lost),
        2 => (2_000_u64..12_000).prop_map(Step::Late),
        1 => (2_000_u64..12_000).prop_map(Step::Silent),
        1 => (2_000_u64..12_000).prop_map(Step::Killed),
        1 => Just(Step::Restarted),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    /// A worker is never ordered to hold more than fits, whatever is late and however many holders are killed.
    #[test]
    fn a_worker_is_never_overfilled(
        checks_preconditions in any::<bool>(),
        steps in proptest::collection::vec((step(), 0_usize..9, 1_u64..900), 1..200),
    ) {
        let mut worker = Worker::new(checks_preconditions);
        // Counts of the old and the new process coincide often.
        worker.sequence = 0;
        let mut holder = Holder::claim(&worker, START_MS);
        let mut now_ms = START_MS;
        for (step, wanted, pause_ms) in steps {
            now_ms += pause_ms;
            worker.advance(now_ms);
            holder.request(&format!("a{wanted}"), now_ms);
            if let Step::Restarted = step {
                worker.restart(now_ms);
                let unrecorded = placement::UnrecordedOrders::after_restart(now_ms);
                holder = Holder::with_report(&worker.report(now_ms), unrecorded, now_ms);
            }
            let (rounds, round_ms) = if let Step::Silent(_) = step { (40, 50) } else { (4, 0) };
            for _ in 0..rounds {
                now_ms += round_ms;
                worker.advance(now_ms);
                let Some(planned) = holder.plan(&worker, now_ms) else {
                    if round_ms > 0 {
                        continue;
                    }
                    break;
                };
                let result = match step {
                    Step::Answered | Step::Restarted => worker.execute(&planned, now_ms),
                    Step::Lost => {
                        worker.execute(&planned, now_ms);
                        placement::OrderResult::Unanswered
                    }
                    Step::Late(delay_ms) | Step::Silent(delay_ms) => {
                        worker.delay(&planned, now_ms + delay_ms);
                        placement::OrderResult::Unanswered
                    }
                    Step::Killed(delay_ms) => {
                        worker.delay(&planned, now_ms + delay_ms);
                        break;
                    }
                };
                holder.apply(&planned, result, now_ms);
            }
            if let Step::Killed(_) = step {
                holder = Holder::claim(&worker, now_ms);
            }
            prop_assert!(!worker.is_overfilled);
        }
    }

    /// A worker that ignores preconditions is not overfilled by what one killed holder left unanswered.
    #[test]
    fn a_worker_that_ignores_preconditions_survives_a_killed_holder(
        before in proptest::collection::vec((0_usize..9, 1_u64..900), 1..60),
        unanswered in proptest::collection::vec((0_usize..9, 2_000_u64..12_000), 0..3),
        after in proptest::collection::vec((0_usize..9, 1_u64..900), 1..60),
    ) {
        let mut worker = Worker::new(false);
        let mut holder = Holder::claim(&worker, START_MS);
        let mut now_ms = START_MS + placement::LATE_ORDER_WINDOW_MS;
        for (wanted, pause_ms) in before {
            now_ms += pause_ms;
            holder.request(&format!("a{wanted}"), now_ms);
            holder.run(&mut worker, now_ms);
        }
        for (wanted, delay_ms) in unanswered {
            holder.request(&format!("a{wanted}"), now_ms);
            let Some(planned) = holder.plan(&worker, now_ms) else { continue };
            worker.delay(&planned, now_ms + delay_ms);
            holder.apply(&planned, placement::OrderResult::Unanswered, now_ms);
        }
        let mut successor = Holder::claim(&worker, now_ms);
        for (wanted, pause_ms) in after {
            now_ms += pause_ms;
            worker.advance(now_ms);
            successor.request(&format!("a{wanted}"), now_ms);
            successor.run(&mut worker, now_ms);
            prop_assert!(!worker.is_overfilled);
        }
    }
}
