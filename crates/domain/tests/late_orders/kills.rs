//! Holders that are killed again and again while a worker executes orders late.

use jasminetack_domain::name;
use jasminetack_domain::placement;
use proptest::prelude::*;

use crate::holder::Holder;
use crate::worker::Worker;

const CAPACITY: usize = 18;
const START_MS: u64 = 100_000;
const LENGTH_MS: u64 = 88_000;
/// Timeout of an order.
const TIMEOUT_MS: u64 = 200;
const TICK_MS: u64 = 25;
const ADAPTERS: u64 = 400;

/// Times of one run.
#[derive(Clone, Debug)]
struct Plan {
    checks_preconditions: bool,
    first_round_ms: u64,
    /// Time between two rounds.
    round_ms: u64,
    /// Time from the begin of a round to the kill.
    kill_after_ms: u64,
    /// Time from a kill to the next claim.
    claim_after_ms: u64,
    /// Share of the rounds in which the holder of this worker is killed.
    kill_share: f64,
    /// Longest round trip of an order.
    max_round_trip_ms: u64,
    demand_ms: u64,
    /// Time in which a share of the orders of each round is left unanswered.
    late_window_ms: u64,
    late_share: f64,
    seed: u64,
}

struct Random(u64);

impl Random {
    fn below(&mut self, range: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % range
    }

    fn is_in(&mut self, share: f64) -> bool {
        (self.below(1_000_000) as f64) < share * 1_000_000.0
    }
}

fn claim(worker: &Worker, was_held: bool, now_ms: u64) -> Holder {
    let unrecorded =
        placement::UnrecordedOrders::after_claim(was_held, worker.started_ms + 1, now_ms, now_ms);
    let limits = placement::Limits {
        adapter_capacity: CAPACITY,
        base_model: name::BaseModelName::from("m"),
    };
    let placement = placement::Placement::new(limits, &worker.report(now_ms), unrecorded, now_ms);
    Holder { placement, reports: 1 }
}

/// Returns the time at which the worker is overfilled.
fn overfilled_ms(plan: &Plan) -> Option<u64> {
    let mut random = Random(plan.seed);
    let mut worker = Worker::with_capacity(plan.checks_preconditions, CAPACITY);
    let mut holder = Some(claim(&worker, false, START_MS));
    let mut claim_ms = 0;
    let mut answer: Option<(u64, placement::PlannedOrder, placement::OrderResult)> = None;
    let mut round_ms = START_MS + plan.first_round_ms;
    let mut kill_ms = u64::MAX;
    let mut late_until_ms = 0;
    let mut arriving: Vec<(u64, placement::PlannedOrder)> = Vec::new();
    for now_ms in START_MS..START_MS + LENGTH_MS {
        worker.advance(now_ms);
        if worker.is_overfilled {
            return Some(now_ms - START_MS);
        }
        if now_ms == round_ms {
            late_until_ms = now_ms + plan.late_window_ms;
            kill_ms = now_ms + plan.kill_after_ms;
            round_ms += plan.round_ms;
        }
        if now_ms == kill_ms && random.is_in(plan.kill_share) && holder.is_some() {
            holder = None;
            answer = None;
            claim_ms = now_ms + plan.claim_after_ms;
        }
        if holder.is_none() && now_ms == claim_ms {
            holder = Some(claim(&worker, true, now_ms));
        }
        // Orders that were sent reach the worker, also if their holder has been killed meanwhile.
        for (_, planned) in arriving.extract_if(.., |(at_ms, _)| *at_ms <= now_ms) {
            let is_slot_order = !matches!(planned.order, placement::Order::LoadBase(_));
            if now_ms < late_until_ms && is_slot_order && random.is_in(plan.late_share) {
                worker.delay(&planned, now_ms + 2_000 + random.below(10_000));
                continue;
            }
            let result = worker.execute(&planned, now_ms);
            if let Some((at_ms, awaited, _)) = &answer
                && *awaited == planned
                && now_ms < *at_ms
            {
                let back_ms = now_ms + random.below(plan.max_round_trip_ms) / 2;
                if back_ms < *at_ms {
                    answer = Some((back_ms, planned, result));
                }
            }
        }
        let Some(holder) = &mut holder else { continue };
        let is_answered = answer.as_ref().is_some_and(|(at_ms, ..)| *at_ms <= now_ms);
        if let Some((_, planned, result)) = answer.take_if(|_| is_answered) {
            holder.apply(&planned, result, now_ms);
        }
        if !is_answered && now_ms % TICK_MS != 0 {
            continue;
        }
        if random.below(plan.demand_ms) < TICK_MS {
            let adapter = random.below(ADAPTERS);
            holder.request(&format!("a{adapter}"), now_ms);
        }
        if let Some(planned) = holder.plan(&worker, now_ms) {
            arriving.push((now_ms + random.below(plan.max_round_trip_ms) / 2, planned.clone()));
            let unanswered = placement::OrderResult::Unanswered;
            answer = Some((now_ms + TIMEOUT_MS, planned, unanswered));
        }
    }
    None
}

fn plan() -> impl Strategy<Value = Plan> {
    let kills = (200_u64..17_000, 300_u64..15_000, 0_u64..400, 100_u64..4_500, 0.3..1.0);
    let load = (2_u64..300, 25_u64..2_000);
    let late = (100_u64..5_500, 0.1..1.0);
    (any::<bool>(), kills, load, late, any::<u64>()).prop_map(
        |(checks_preconditions, kills, load, late, seed)| {
            let (first_round_ms, round_ms, kill_after_ms, claim_after_ms, kill_share) = kills;
            let (max_round_trip_ms, demand_ms) = load;
            let (late_window_ms, late_share) = late;
            Plan {
                checks_preconditions,
                first_round_ms,
                round_ms,
                kill_after_ms,
                claim_after_ms,
                kill_share,
                max_round_trip_ms,
                demand_ms,
                late_window_ms,
                late_share,
                seed,
            }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against a worker that is overfilled by the late orders of several killed holders.
    #[test]
    fn kills_in_series_overfill_no_worker(plan in plan()) {
        prop_assert_eq!(overfilled_ms(&plan), None);
    }
}
