//! Number of loads in a time, if each answer takes as long as on the platform.

use jasminetack_domain::name;
use jasminetack_domain::placement;

use crate::holder::Holder;
use crate::worker::{LOAD_MS, Worker};

const START_MS: u64 = 100_000;
const LENGTH_MS: u64 = 10_000;
const ROUND_TRIP_MS: u64 = 3;
/// Interval at which the control thread decides while loads are in progress.
const TICK_MS: u64 = 25;
/// Loads that one worker gets at once.
const LOADS_AT_ONCE: u64 = 3;
/// Time from the end of a load until its poll and the next load are answered, at most: the interval of
/// polls, a tick and two round trips.
const MAX_GAP_MS: u64 = 30 + TICK_MS + 2 * ROUND_TRIP_MS;

/// Guards against fewer loads because the holder awaits the answer to each order.
#[test]
fn answers_that_are_awaited_one_by_one_do_not_delay_loads() {
    let mut worker = Worker::new(true);
    let limits =
        placement::Limits { adapter_capacity: 1_000, base_model: name::BaseModelName::from("m") };
    let unrecorded = placement::UnrecordedOrders::default();
    let report = worker.report(START_MS);
    let placement = placement::Placement::new(limits, &report, unrecorded, START_MS);
    let mut holder = Holder { placement, reports: 1 };
    let mut answer: Option<(u64, placement::PlannedOrder, placement::OrderResult)> = None;
    for now_ms in START_MS..START_MS + LENGTH_MS {
        let is_answered = answer.as_ref().is_some_and(|(at_ms, ..)| *at_ms <= now_ms);
        if let Some((_, planned, result)) = answer.take_if(|_| is_answered) {
            holder.apply(&planned, result, now_ms);
        }
        if !is_answered && now_ms % TICK_MS != 0 {
            continue;
        }
        for ahead in 0..6 {
            holder.request(&format!("a{}", worker.sequence + ahead), now_ms);
        }
        if let Some(planned) = holder.plan(&worker, now_ms) {
            let result = worker.execute(&planned, now_ms + 1);
            answer = Some((now_ms + ROUND_TRIP_MS, planned, result));
        }
    }
    let loaded = holder.placement.counts().resident as u64;
    let least = LENGTH_MS / (LOAD_MS + MAX_GAP_MS) * LOADS_AT_ONCE;
    assert!(loaded >= least, "{loaded} loads instead of {least}");
    assert_eq!(holder.reports, 1);
}
