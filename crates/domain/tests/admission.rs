//! Tests of the decision to admit or refuse a request, on the load patterns that it answers.

use std::collections::VecDeque;

use jasminetack_domain::dispatch::{Admission, Estimate, RefusalReason, TimeLimits, admission};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TARGET_MS: u64 = 800;
const DEADLINE_MS: u64 = 8_000;

fn limits(received_ms: u64) -> TimeLimits {
    TimeLimits {
        target_ms: received_ms + TARGET_MS,
        deadline_ms: received_ms + DEADLINE_MS,
        received_ms,
    }
}

fn estimate(adapter_wait_ms: f64, queue_ms: f64, generation_ms: f64) -> Estimate {
    Estimate { adapter_wait_ms, queue_ms, prefill_ms: 0.0, generation_ms }
}

fn reason(admission: Admission) -> Option<RefusalReason> {
    match admission {
        Admission::Admitted => None,
        Admission::Refused { reason, .. } => Some(reason),
    }
}

#[test]
fn a_request_that_cannot_be_complete_by_its_deadline_is_refused_at_once() {
    let slow = estimate(0.0, 500.0, 7_600.0);
    for is_admitted in [false, true] {
        let admission = admission::decide(limits(0), slow, is_admitted, 0.5, 0);
        assert_eq!(reason(admission), Some(RefusalReason::DeadlineUnreachable));
    }
}

#[test]
fn an_admitted_request_is_kept_when_others_are_refused() {
    let late = estimate(1_500.0, 100.0, 1_000.0);
    let refused = admission::decide(limits(0), late, false, 0.5, 0);
    assert_eq!(reason(refused), Some(RefusalReason::Overloaded));
    assert_eq!(admission::decide(limits(0), late, true, 0.5, 0), Admission::Admitted);
    // The wait is predicted for new requests; this one is ahead of them.
    let stuck = estimate(30_000.0, 100.0, 1_000.0);
    assert_eq!(admission::decide(limits(0), stuck, true, 0.5, 0), Admission::Admitted);
}

#[test]
fn a_long_prompt_is_not_refused_for_the_time_to_read_it() {
    let long = Estimate { prefill_ms: 2_500.0, ..estimate(0.0, 100.0, 1_000.0) };
    assert_eq!(admission::decide(limits(0), long, false, 0.5, 0), Admission::Admitted);
    let behind_others = Estimate { queue_ms: 900.0, ..long };
    let refused = admission::decide(limits(0), behind_others, false, 0.5, 0);
    assert_eq!(reason(refused), Some(RefusalReason::Overloaded));
}

proptest! {
    /// A refused caller can return within its time, and later when more load is in its way.
    #[test]
    fn a_refused_caller_can_return_in_time(
        excess_ms in 0.0_f64..100_000.0,
        random in 0.0_f64..1.0,
        now_ms in 0_u64..7_000,
    ) {
        let retry_after_ms = admission::retry_after_ms(limits(0), excess_ms, random, now_ms);
        prop_assert!(retry_after_ms <= ((DEADLINE_MS - now_ms) / 3).max(250));
        prop_assert!(retry_after_ms >= 250);
        let later_ms = admission::retry_after_ms(limits(0), excess_ms * 2.0, random, now_ms);
        prop_assert!(later_ms >= retry_after_ms);
    }
}

/// Outcome of a load pattern.
#[derive(Debug, Default)]
struct Served {
    on_time: u32,
    late: u32,
    refused: u32,
    /// Requests that an engine took and did not finish in time.
    wasted: u32,
}

/// Plays open-loop callers, who return once after a refusal, against one engine that prefills prompts
/// one after the other. Each of the daemons knows its own requests at once and those of the others
/// after `REPORT_AGE_MS`.
fn play(arrivals_a_s: f64, with_admission: bool) -> Served {
    const SECONDS: u64 = 20;
    const PREFILL_MS: f64 = 76.0;
    const GENERATION_MS: f64 = 1_500.0;
    const REPORT_AGE_MS: u64 = 200;
    const DAEMONS: usize = 3;
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let mut served = Served::default();
    // Requests by time: arrival, first arrival, and whether the caller has returned already.
    let mut callers: VecDeque<(u64, u64, bool)> = VecDeque::new();
    let mut now = 0.0;
    while now < (SECONDS * 1_000) as f64 {
        now += -(1.0 - random.random::<f64>()).ln() * 1_000.0 / arrivals_a_s;
        callers.push_back((now as u64, now as u64, false));
    }
    let mut free_ms = 0.0_f64;
    // Time, daemon and end of the prefill of each request that was admitted.
    let mut sent: Vec<(u64, usize, f64)> = Vec::new();
    while let Some((now_ms, first_ms, has_returned)) = callers.pop_front() {
        let daemon = random.random_range(0..DAEMONS);
        let mut queue_ms = 0.0;
        for (sent_ms, sender, end_ms) in &sent {
            if *sender == daemon || sent_ms + REPORT_AGE_MS <= now_ms {
                queue_ms += (end_ms - now_ms as f64).clamp(0.0, PREFILL_MS);
            }
        }
        let limits = TimeLimits { deadline_ms: first_ms + DEADLINE_MS, ..limits(now_ms) };
        let estimate =
            Estimate { prefill_ms: PREFILL_MS, ..estimate(0.0, queue_ms, GENERATION_MS) };
        let decision = admission::decide(limits, estimate, false, random.random(), now_ms);
        if let Admission::Refused { retry_after_ms, .. } = decision
            && with_admission
        {
            if has_returned {
                served.refused += 1;
                continue;
            }
            let at_ms = now_ms + retry_after_ms;
            let position = callers.partition_point(|(other_ms, ..)| *other_ms <= at_ms);
            callers.insert(position, (at_ms, first_ms, true));
            continue;
        }
        free_ms = free_ms.max(now_ms as f64) + PREFILL_MS;
        sent.push((now_ms, daemon, free_ms));
        let first_part_ms = free_ms - first_ms as f64;
        if first_part_ms + GENERATION_MS > DEADLINE_MS as f64 {
            served.wasted += 1;
        } else if first_part_ms <= TARGET_MS as f64 {
            served.on_time += 1;
        } else {
            served.late += 1;
        }
    }
    served
}

#[test]
fn at_twice_the_capacity_answers_begin_sooner_and_none_is_wasted() {
    const CAPACITY_A_S: f64 = 1_000.0 / 76.0;
    let (before, after) = (play(2.0 * CAPACITY_A_S, false), play(2.0 * CAPACITY_A_S, true));
    assert!(after.on_time >= 2 * before.on_time, "{before:?} {after:?}");
    assert!(after.on_time + after.late >= before.on_time + before.late, "{before:?} {after:?}");
    assert_eq!(after.wasted, 0, "{after:?}");
    assert!(before.wasted > 100, "{before:?}");
}

#[test]
fn below_the_capacity_nothing_is_refused() {
    const CAPACITY_A_S: f64 = 1_000.0 / 76.0;
    let served = play(0.7 * CAPACITY_A_S, true);
    assert_eq!(served.refused + served.wasted, 0, "{served:?}");
}
