//! One test for each rule on late orders.

use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use jasminetack_domain::placement;

use crate::holder::{EPOCH_MS, Holder, adapter_ref, names};
use crate::worker::{CAPACITY, LOAD_MS, Worker};

const WINDOW_MS: u64 = placement::LATE_ORDER_WINDOW_MS;
/// Time of the claims, long after the worker's start.
const START_MS: u64 = 100_000;

/// Loads all slots but one, and returns the last load, which the worker leaves unanswered.
fn leave_last_load_unanswered(
    holder: &mut Holder,
    worker: &mut Worker,
) -> (placement::PlannedOrder, u64) {
    let now_ms = holder.load_all(worker, &["a0", "a1", "a2"], START_MS);
    holder.request("late", now_ms);
    let late = holder.plan(worker, now_ms).expect("a load");
    assert_eq!(late.order, placement::Order::Load(adapter_ref("late")));
    holder.apply(&late, placement::OrderResult::Unanswered, now_ms + 200);
    (late, now_ms + 200)
}

/// Guards against a successor that fills the slot of a dead holder's load, which is executed later.
#[test]
fn a_dead_holders_load_is_not_executed_after_an_order_of_the_successor() {
    let mut worker = Worker::new(true);
    let mut dead = Holder::claim(&worker, START_MS);
    let (late, now_ms) = leave_last_load_unanswered(&mut dead, &mut worker);
    worker.delay(&late, now_ms + 5_000);
    let mut successor = Holder::claim(&worker, now_ms);
    successor.load_all(&mut worker, &["new"], now_ms);
    assert_eq!(worker.adapters.len(), CAPACITY);
    worker.advance(now_ms + 5_000);
    assert!(!worker.is_overfilled);
    assert_eq!(successor.reports, 1);
}

/// Guards against an order that is decided on a report from before the late load.
#[test]
fn a_successor_notices_a_dead_holders_load_that_was_executed_before_its_order() {
    let mut worker = Worker::new(true);
    let mut dead = Holder::claim(&worker, START_MS);
    let (late, now_ms) = leave_last_load_unanswered(&mut dead, &mut worker);
    let mut successor = Holder::claim(&worker, now_ms);
    successor.run(&mut worker, now_ms);
    worker.delay(&late, now_ms + 1_000);
    worker.advance(now_ms + 1_000);
    successor.request("new", now_ms + 2_000);
    let sent = successor.run(&mut worker, now_ms + 2_000);
    assert!(!worker.is_overfilled);
    // The load is refused; the report shows the late one, and another adapter is unloaded.
    assert_eq!(sent[0].order, placement::Order::Load(adapter_ref("new")), "{sent:?}");
    assert_eq!(successor.reports, 2);
    assert!(worker.adapters.contains_key("late"));
    assert!(sent.iter().any(|planned| matches!(planned.order, placement::Order::Unload(_))));
    assert_eq!(worker.adapters.len(), CAPACITY, "{sent:?}");
}

/// Guards against a count that is one too low, or a report, after a lost response.
#[test]
fn a_lost_response_is_made_up_for_by_a_repeat() {
    let mut worker = Worker::new(true);
    let mut holder = Holder::claim(&worker, START_MS);
    holder.run(&mut worker, START_MS);
    holder.request("a0", START_MS);
    let load = holder.plan(&worker, START_MS).expect("a load");
    worker.execute(&load, START_MS);
    holder.apply(&load, placement::OrderResult::Unanswered, START_MS + 200);
    assert_eq!(holder.plan(&worker, START_MS + 201), None, "the repeat comes first");
    let again = holder.plan(&worker, START_MS + 230).expect("a repeat");
    assert_eq!(again, load, "the repeat has the same precondition");
    let result = worker.execute(&again, START_MS + 230);
    assert_eq!(result, placement::OrderResult::Accepted);
    holder.apply(&again, result, START_MS + 230);
    holder.load_all(&mut worker, &["a1", "a2", "a3"], START_MS + 300);
    assert_eq!(holder.reports, 1);
}

/// Guards against a slot that stays lost after the response to a load that ended meanwhile.
#[test]
fn a_refused_repeat_is_explained_by_a_report() {
    let mut worker = Worker::new(true);
    let mut holder = Holder::claim(&worker, START_MS);
    holder.run(&mut worker, START_MS);
    holder.request("a0", START_MS);
    let load = holder.plan(&worker, START_MS).expect("a load");
    worker.execute(&load, START_MS);
    holder.apply(&load, placement::OrderResult::Unanswered, START_MS + 200);
    let now_ms = START_MS + LOAD_MS + 10;
    let again = holder.plan(&worker, now_ms).expect("a repeat");
    let result = worker.execute(&again, now_ms);
    assert_eq!(result, placement::OrderResult::Busy, "the load ended, and the count advanced");
    holder.apply(&again, result, now_ms);
    assert!(holder.placement.needs_report(now_ms));
    assert_eq!(holder.placement.summary().held.len(), 1);
    let outcome = holder.placement.apply_report(&worker.report(now_ms), now_ms);
    let settled = placement::ReportOutcome::Settled { order: again.order, is_executed: true };
    assert_eq!(outcome, settled);
    assert_eq!(holder.run(&mut worker, now_ms), []);
    assert_eq!(holder.placement.counts().resident, 1);
}

/// Guards against orders that are sent while a report from before the last answer is all that is known.
#[test]
fn a_report_from_before_the_last_answer_is_ignored() {
    let mut worker = Worker::new(true);
    let mut holder = Holder::claim(&worker, START_MS);
    let outdated = worker.report(START_MS);
    holder.run(&mut worker, START_MS);
    holder.request("a0", START_MS);
    let load = holder.plan(&worker, START_MS).expect("a load");
    let result = worker.execute(&load, START_MS);
    holder.apply(&load, result, START_MS);
    holder.request("a1", START_MS + 10);
    let load = holder.plan(&worker, START_MS + 10).expect("a load");
    holder.apply(&load, placement::OrderResult::Busy, START_MS + 10);
    assert!(holder.placement.needs_report(START_MS + 10));
    let outcome = holder.placement.apply_report(&outdated, START_MS + 10);
    assert_eq!(outcome, placement::ReportOutcome::Outdated);
    assert!(holder.placement.needs_report(START_MS + 10));
    assert_eq!(holder.placement.counts().loading, 2);
}

/// Guards against a full new process that orders to the previous one overfill, as their preconditions
/// hold by chance: that of the second one after the first one was executed.
#[test]
fn slots_are_kept_free_after_a_restart_under_the_same_name() {
    let mut worker = Worker::new(true);
    worker.restart(START_MS);
    let unrecorded = placement::UnrecordedOrders::after_restart(START_MS);
    let report = worker.report(START_MS);
    let mut holder = Holder::with_report(&report, unrecorded, START_MS);
    let now_ms = holder.load_all(&mut worker, &["a0", "a1"], START_MS);
    let chance = |name: &str, sequence| placement::PlannedOrder {
        order: placement::Order::Load(adapter_ref(name)),
        precondition: Some(sequence),
    };
    for name in ["a0", "a1"] {
        let used = dispatch::AdapterUse { in_flight: 1, started: 1 };
        holder.placement.record_use(&name::AdapterName::from(name), used, now_ms);
    }
    holder.request("a3", now_ms);
    assert_eq!(holder.run(&mut worker, now_ms), []);
    worker.delay(&chance("late", worker.sequence), START_MS + WINDOW_MS - 1_000);
    worker.delay(&chance("later", worker.sequence + 1), START_MS + WINDOW_MS - 1_000);
    worker.advance(START_MS + WINDOW_MS - 1_000);
    assert!(!worker.is_overfilled);
    // After the window, the precondition shows what the late order did.
    let now_ms = START_MS + WINDOW_MS;
    holder.request("a3", now_ms);
    let sent = holder.run(&mut worker, now_ms);
    assert!(!worker.is_overfilled, "{sent:?}");
    assert!(worker.adapters.contains_key("late") && worker.adapters.contains_key("later"));
}

/// Guards against a successor that does not know of a restart a moment ago, also with skewed clocks.
#[test]
fn a_claim_accounts_for_a_recent_restart() {
    let after = |started_unix_ms| {
        placement::UnrecordedOrders::after_claim(true, started_unix_ms, EPOCH_MS, START_MS)
    };
    let unrecorded = after(EPOCH_MS - 1_000_000);
    assert_eq!(unrecorded.until_ms, START_MS + WINDOW_MS);
    assert_eq!(unrecorded.restart_until_ms, START_MS);
    assert_eq!(after(EPOCH_MS - 10_000).restart_until_ms, START_MS + 9_000);
    for started_unix_ms in [0, EPOCH_MS, EPOCH_MS + 5_000] {
        assert_eq!(after(started_unix_ms).restart_until_ms, START_MS + WINDOW_MS);
    }
    let never_held = placement::UnrecordedOrders::after_claim(false, 0, EPOCH_MS, START_MS);
    assert_eq!(never_held.until_ms, START_MS, "no daemon has sent it an order");
    assert_eq!(never_held.restart_until_ms, START_MS);
}

/// Guards against an overfilled worker that executes whatever it was ever ordered.
#[test]
fn a_worker_that_ignores_preconditions_gets_no_other_adapters_after_a_takeover() {
    let mut worker = Worker::new(false);
    let mut holder = Holder::claim(&worker, START_MS);
    assert_eq!(names(&holder.run(&mut worker, START_MS)), ["load-base:m"]);
    let support = holder.placement.precondition_support();
    assert_eq!(support, placement::PreconditionSupport::Ignored);
    for at_ms in [START_MS + 1_000, START_MS + WINDOW_MS - 1] {
        holder.request("a1", at_ms);
        assert_eq!(holder.run(&mut worker, at_ms), []);
    }
    // The window is over: another report shows what the late orders loaded.
    for index in 0..CAPACITY {
        worker.adapters.insert(format!("late{index}"), 0);
    }
    assert!(holder.placement.needs_report(START_MS + WINDOW_MS));
    holder.request("a1", START_MS + WINDOW_MS);
    holder.run(&mut worker, START_MS + WINDOW_MS);
    assert_eq!(holder.reports, 2);
    assert!(!worker.is_overfilled);
}

/// Guards against the sum of what several killed holders ordered: each of them fills the free slots that it
/// sees, and the worker executes the orders of all later.
#[test]
fn holders_that_are_killed_in_series_overfill_no_worker_that_ignores_preconditions() {
    let mut worker = Worker::new(false);
    let unrecorded = placement::UnrecordedOrders::after_claim(false, 0, EPOCH_MS, START_MS);
    let mut holder = Holder::with_report(&worker.report(START_MS), unrecorded, START_MS);
    let mut now_ms = START_MS + WINDOW_MS;
    let late_ms = now_ms + 10_000;
    holder.run(&mut worker, now_ms);
    for round in 0..3 {
        for index in 0..3 {
            holder.request(&format!("a{round}{index}"), now_ms);
        }
        while let Some(planned) = holder.plan(&worker, now_ms) {
            if matches!(planned.order, placement::Order::LoadBase(_)) {
                let result = worker.execute(&planned, now_ms);
                holder.apply(&planned, result, now_ms);
                continue;
            }
            worker.delay(&planned, late_ms);
            holder.apply(&planned, placement::OrderResult::Unanswered, now_ms);
        }
        now_ms += 700;
        holder = Holder::claim(&worker, now_ms);
    }
    worker.advance(late_ms);
    assert!(!worker.is_overfilled, "{:?}", worker.adapters);
}

/// Guards against a new worker that cannot be filled although no daemon has sent it an order.
#[test]
fn a_worker_that_ignores_preconditions_and_was_never_held_can_be_filled_at_once() {
    let mut worker = Worker::new(false);
    let unrecorded = placement::UnrecordedOrders::after_claim(false, 0, EPOCH_MS, START_MS);
    let mut holder = Holder::with_report(&worker.report(START_MS), unrecorded, START_MS);
    holder.load_all(&mut worker, &["a0", "a1", "a2", "a3"], START_MS);
    assert_eq!(worker.adapters.len(), CAPACITY);
}

/// Guards against a window, a lost slot or a second report for a worker that needs none of them.
#[test]
fn a_worker_that_checks_preconditions_can_be_filled_at_once() {
    let mut worker = Worker::new(true);
    worker.adapters.insert("a0".to_owned(), 0);
    let mut holder = Holder::claim(&worker, START_MS);
    let sent = holder.run(&mut worker, START_MS);
    assert_eq!(names(&sent), ["load-base:m"; 3]);
    assert_ne!(sent[0].precondition, Some(worker.sequence));
    assert_eq!(sent[1].precondition, Some(worker.sequence));
    assert_eq!(sent[2].precondition, sent[0].precondition);
    let support = holder.placement.precondition_support();
    assert_eq!(support, placement::PreconditionSupport::Checked);
    let now_ms = holder.load_all(&mut worker, &["a1", "a2", "a3"], START_MS);
    assert_eq!(worker.adapters.len(), CAPACITY);
    // Full: the least used adapter gives way.
    holder.request("a4", now_ms);
    holder.run(&mut worker, now_ms);
    assert!(worker.adapters.contains_key("a4"));
    assert!(!holder.placement.needs_report(START_MS + 2 * WINDOW_MS));
    assert_eq!(holder.reports, 1);
}

/// Guards against the verdict that a busy worker which ignores preconditions checks them.
#[test]
fn a_busy_worker_is_not_taken_for_one_that_checks_preconditions() {
    let mut worker = Worker::new(false);
    let mut holder = Holder::claim(&worker, START_MS);
    for _ in 0..2 {
        let probe = holder.plan(&worker, START_MS).expect("a probe");
        holder.apply(&probe, placement::OrderResult::Busy, START_MS);
    }
    let support = holder.placement.precondition_support();
    assert_eq!(support, placement::PreconditionSupport::Unknown);
    holder.run(&mut worker, START_MS);
    let support = holder.placement.precondition_support();
    assert_eq!(support, placement::PreconditionSupport::Ignored);
}

/// Guards against the same verdict if the worker is busy for the probe and free for the control order.
#[test]
fn a_worker_that_is_busy_only_for_the_first_probe_is_not_taken_for_one_that_checks() {
    let mut worker = Worker::new(false);
    let mut holder = Holder::claim(&worker, START_MS);
    let probe = holder.plan(&worker, START_MS).expect("a probe");
    holder.apply(&probe, placement::OrderResult::Busy, START_MS);
    let sent = holder.run(&mut worker, START_MS);
    assert_eq!(names(&sent), ["load-base:m", "load-base:m"]);
    assert_eq!(sent[1].precondition, probe.precondition);
    let support = holder.placement.precondition_support();
    assert_eq!(support, placement::PreconditionSupport::Ignored);
}

/// Guards against adapter orders before it is known how far the worker can be filled.
#[test]
fn an_unanswered_probe_is_repeated_before_adapters_are_loaded() {
    let mut worker = Worker::new(true);
    let mut holder = Holder::claim(&worker, START_MS);
    let probe = holder.plan(&worker, START_MS).expect("a probe");
    holder.apply(&probe, placement::OrderResult::Unanswered, START_MS + 200);
    holder.request("a0", START_MS + 230);
    assert_eq!(holder.plan(&worker, START_MS + 230), Some(probe.clone()));
    let result = worker.execute(&probe, START_MS + 230);
    holder.apply(&probe, result, START_MS + 230);
    let sent = names(&holder.run(&mut worker, START_MS + 230));
    assert_eq!(sent, ["load-base:m", "load-base:m", "load:a0@0"]);
}

/// Guards against lower throughput: only the answers are awaited one by one, not the loads.
#[test]
fn three_loads_are_in_progress_at_once_and_polls_carry_the_current_precondition() {
    let mut worker = Worker::new(true);
    let mut holder = Holder::claim(&worker, START_MS);
    holder.run(&mut worker, START_MS);
    let first = worker.sequence;
    for name in ["a0", "a1", "a2", "a3"] {
        holder.request(name, START_MS);
    }
    let sent = holder.run(&mut worker, START_MS);
    assert_eq!(sent.len(), 3);
    let preconditions: Vec<_> = sent.iter().map(|planned| planned.precondition).collect();
    assert_eq!(preconditions, [Some(first), Some(first + 1), Some(first + 2)]);
    holder.request("a3", START_MS + LOAD_MS);
    let sent = holder.run(&mut worker, START_MS + LOAD_MS);
    // The ended load is confirmed by its poll, which makes room for the fourth.
    let load = placement::Order::Load(adapter_ref("a3"));
    assert!(sent.iter().any(|planned| planned.order == load), "{sent:?}");
    holder.run(&mut worker, START_MS + 3 * LOAD_MS);
    assert_eq!(holder.placement.counts().resident, CAPACITY);
    assert_eq!(holder.reports, 1);
}

/// Guards against a poll of a load that another holder ordered being counted as a new order.
#[test]
fn a_load_that_was_in_progress_at_the_claim_is_only_polled() {
    let mut worker = Worker::new(true);
    worker.adapters.insert("a0".to_owned(), START_MS + LOAD_MS);
    let mut holder = Holder::claim(&worker, START_MS);
    holder.run(&mut worker, START_MS);
    holder.load_all(&mut worker, &["a1", "a2"], START_MS + 50);
    assert_eq!(holder.placement.counts().resident, 3);
    assert_eq!(holder.reports, 1);
}

/// Guards against orders and reports without end while a worker waits to unload an adapter in use.
#[test]
fn a_worker_that_waits_to_unload_gets_only_repeats() {
    let mut worker = Worker::new(true);
    let mut holder = Holder::claim(&worker, START_MS);
    let now_ms = holder.load_all(&mut worker, &["a0", "a1", "a2", "a3"], START_MS);
    worker.in_use = ["a0", "a1", "a2", "a3"].map(str::to_owned).to_vec();
    holder.request("new", now_ms);
    let sent = holder.run(&mut worker, now_ms);
    let [unload] = sent.as_slice() else { panic!("{sent:?}") };
    for step in 1..100 {
        let now_ms = now_ms + step * 30;
        holder.request("new", now_ms);
        let again = holder.plan(&worker, now_ms).expect("a repeat");
        assert_eq!(again.order, unload.order);
        // Workers in this state also refuse repeats.
        let result = match step % 2 {
            0 => worker.execute(&again, now_ms),
            _ => placement::OrderResult::Busy,
        };
        holder.apply(&again, result, now_ms);
        assert!(holder.reports <= 1 + step as usize * 30 / 1_000, "{} reports", holder.reports);
    }
    worker.end_requests();
    holder.request("new", now_ms + 3_100);
    holder.run(&mut worker, now_ms + 3_100);
    assert!(worker.adapters.contains_key("new"));
}

/// Guards against slots of a process that is gone, if the worker's entry does not tell of its restart.
#[test]
fn a_lower_sequence_that_stays_means_that_the_worker_restarted() {
    let mut worker = Worker::new(true);
    let mut holder = Holder::claim(&worker, START_MS);
    let now_ms = holder.load_all(&mut worker, &["a0", "a1"], START_MS);
    worker.restart(now_ms);
    holder.request("a2", now_ms + 5_000);
    holder.run(&mut worker, now_ms + 5_000);
    assert_eq!(holder.placement.counts().resident, 0);
    holder.load_all(&mut worker, &["a0", "a1"], now_ms + 6_000);
    holder.request("a2", now_ms + 10_000);
    holder.run(&mut worker, now_ms + 10_000);
    assert!(worker.adapters.len() <= CAPACITY - 2, "two slots are kept free");
}

/// Guards against a worker that can no longer be filled after a refused or undelivered order.
#[test]
fn refused_and_undelivered_orders_leave_the_count_as_it_is() {
    let mut worker = Worker::new(true);
    let mut holder = Holder::claim(&worker, START_MS);
    holder.run(&mut worker, START_MS);
    for result in [placement::OrderResult::Refused, placement::OrderResult::NotSent] {
        holder.request("a0", START_MS);
        let load = holder.plan(&worker, START_MS).expect("a load");
        holder.apply(&load, result, START_MS);
        assert!(!holder.placement.needs_report(START_MS), "{result:?}");
    }
    holder.load_all(&mut worker, &["a0", "a1"], START_MS + 1_000);
    assert_eq!(holder.reports, 1);
}

/// Guards against a state that is taken for known although another process may have answered.
#[test]
fn a_misdirected_order_is_followed_by_a_report() {
    let mut worker = Worker::new(true);
    let mut holder = Holder::claim(&worker, START_MS);
    holder.run(&mut worker, START_MS);
    holder.request("a0", START_MS);
    let load = holder.plan(&worker, START_MS).expect("a load");
    holder.apply(&load, placement::OrderResult::Misdirected, START_MS);
    assert!(holder.placement.needs_report(START_MS));
    holder.load_all(&mut worker, &["a0"], START_MS + 1_000);
    assert_eq!(holder.reports, 2);
}

/// Answers the probe and orders that a worker gets for three seconds; those for `failing` get `result`.
/// Returns the adapters that the worker holds then.
fn run_with_failing_adapter(result: placement::OrderResult) -> Worker {
    let mut worker = Worker::new(true);
    let mut holder = Holder::claim(&worker, START_MS);
    holder.run(&mut worker, START_MS);
    for now_ms in (START_MS..START_MS + 3_000).step_by(10) {
        worker.advance(now_ms);
        for adapter in ["failing", "a0", "a1"] {
            holder.request(adapter, now_ms);
        }
        let Some(planned) = holder.plan(&worker, now_ms) else { continue };
        let is_failing = planned.order == placement::Order::Load(adapter_ref("failing"));
        let result = if is_failing { result } else { worker.execute(&planned, now_ms) };
        if is_failing && result == placement::OrderResult::Unanswered {
            worker.delay(&planned, now_ms + 2_000);
        }
        holder.apply(&planned, result, now_ms);
    }
    worker
}

/// Guards against an order that is never answered, or always with an unspecified status, and keeps
/// all others of the worker from being sent.
#[test]
fn an_order_that_is_never_answered_does_not_block_the_others() {
    for result in [placement::OrderResult::Unspecified, placement::OrderResult::Unanswered] {
        let worker = run_with_failing_adapter(result);
        for adapter in ["a0", "a1"] {
            assert!(worker.adapters.contains_key(adapter), "{result:?}: {:?}", worker.adapters);
        }
        assert!(!worker.is_overfilled);
    }
}

/// Guards against a worker that gets no orders because it answers the probe with a status that the
/// protocol does not specify.
#[test]
fn a_probe_with_unspecified_answers_means_that_preconditions_are_ignored() {
    let mut worker = Worker::new(false);
    let mut holder = Holder::claim(&worker, START_MS);
    let mut probe = |result, now_ms| {
        if let Some(planned) = holder.plan(&worker, now_ms) {
            holder.apply(&planned, result, now_ms);
        }
        holder.placement.precondition_support()
    };
    for now_ms in (START_MS..START_MS + 3_000).step_by(30) {
        let support = probe(placement::OrderResult::Unanswered, now_ms);
        assert_eq!(support, placement::PreconditionSupport::Unknown, "it may be frozen");
    }
    for now_ms in (START_MS + 3_000..START_MS + 5_000).step_by(30) {
        probe(placement::OrderResult::Unspecified, now_ms);
    }
    let support = holder.placement.precondition_support();
    assert_eq!(support, placement::PreconditionSupport::Ignored);
    let now_ms = START_MS + WINDOW_MS;
    holder.request("a0", now_ms);
    holder.run(&mut worker, now_ms);
    assert!(worker.adapters.contains_key("a0"));
}

/// Claims a worker that lacks its base model.
fn claim_without_base_model(worker: &Worker) -> Holder {
    let report = placement::WorkerState { has_base_model: false, ..worker.report(START_MS) };
    Holder::with_report(&report, placement::UnrecordedOrders::default(), START_MS)
}

/// Guards against a base model that is never loaded, as the worker refuses orders with preconditions.
#[test]
fn a_refused_base_load_means_that_preconditions_are_ignored() {
    let mut worker = Worker::new(false);
    let mut holder = claim_without_base_model(&worker);
    let load = holder.plan(&worker, START_MS).expect("a load of the base model");
    assert_eq!(load.precondition, Some(worker.sequence));
    holder.apply(&load, placement::OrderResult::Refused, START_MS);
    let support = holder.placement.precondition_support();
    assert_eq!(support, placement::PreconditionSupport::Ignored);
    let sent = holder.run(&mut worker, START_MS + 500);
    assert_eq!(sent[0].precondition, None);
    assert!(holder.placement.has_base_model());
}

/// Guards against a restart that is assumed because a report is older than the end of the base load.
#[test]
fn a_report_from_before_the_end_of_a_long_base_load_is_outdated() {
    let mut worker = Worker::new(true);
    let mut holder = claim_without_base_model(&worker);
    let load = holder.plan(&worker, START_MS).expect("a load of the base model");
    holder.apply(&load, placement::OrderResult::Accepted, START_MS);
    worker.sequence += 1;
    let before_end = placement::WorkerState { has_base_model: false, ..worker.report(START_MS) };
    let now_ms = START_MS + 5_000;
    holder.run(&mut worker, now_ms);
    let support = holder.placement.precondition_support();
    assert_eq!(support, placement::PreconditionSupport::Checked);
    holder.request("a0", now_ms);
    let load = holder.plan(&worker, now_ms).expect("a load");
    holder.apply(&load, placement::OrderResult::Busy, now_ms);
    let outcome = holder.placement.apply_report(&before_end, now_ms + 100);
    assert_eq!(outcome, placement::ReportOutcome::Outdated);
    assert!(holder.placement.has_base_model());
    let outcome = holder.placement.apply_report(&before_end, now_ms + 2_000);
    assert_eq!(outcome, placement::ReportOutcome::Restarted);
}

/// Guards against a worker that gets no further order after the result of one was lost in the daemon.
#[test]
fn an_order_without_a_result_is_repeated_after_a_second() {
    let mut worker = Worker::new(true);
    let mut holder = Holder::claim(&worker, START_MS);
    holder.run(&mut worker, START_MS);
    holder.request("a0", START_MS);
    let load = holder.plan(&worker, START_MS).expect("a load");
    assert_eq!(holder.plan(&worker, START_MS + 999), None);
    let repeat = [1_000, 1_030].map(|after_ms| holder.plan(&worker, START_MS + after_ms));
    assert_eq!(repeat.into_iter().flatten().next(), Some(load));
}
