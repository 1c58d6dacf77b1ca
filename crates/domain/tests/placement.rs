//! Tests of adapter placement on a worker.

use std::collections::BTreeMap;

use jasminetack_domain::adapter;
use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use jasminetack_domain::placement;
use proptest::prelude::*;

const CAPACITY: usize = 4;
const MIN_IDLE_MS: u64 = 600;
/// No loads in flight on other workers.
const ALONE: placement::FleetLoads = placement::FleetLoads {
    others_in_flight: 0,
    limit: 8,
    may_load_base_model: true,
    other_base_loads: 0,
};

fn adapter_ref(name: &str) -> adapter::AdapterRef {
    adapter::AdapterRef::new(name::AdapterName::from(name), 0)
}

/// Report of a worker that has its base model and does not count orders.
fn report(resident: &[adapter::AdapterRef]) -> placement::WorkerState {
    placement::WorkerState {
        has_base_model: true,
        resident: resident.to_vec(),
        ..placement::WorkerState::default()
    }
}

fn limits() -> placement::Limits {
    placement::Limits { adapter_capacity: CAPACITY, base_model: name::BaseModelName::from("m") }
}

/// Creates the placement of a worker that may execute orders without a record until `late_until_ms`.
fn placement_of(reported: &placement::WorkerState, late_until_ms: u64) -> placement::Placement {
    let unrecorded = placement::UnrecordedOrders { until_ms: late_until_ms, restart_until_ms: 0 };
    placement::Placement::new(limits(), reported, unrecorded, 0)
}

fn placement(late_until_ms: u64) -> placement::Placement {
    placement_of(&report(&[]), late_until_ms)
}

/// Returns the order to send now, if any.
fn plan(placement: &mut placement::Placement, now_ms: u64) -> Vec<placement::Order> {
    let planned = placement.plan(ALONE, MIN_IDLE_MS, now_ms);
    planned.into_iter().map(|planned| planned.order).collect()
}

/// Loads an adapter; the orders succeed immediately.
fn load(placement: &mut placement::Placement, name: &str, now_ms: u64) {
    placement.add_demand(&adapter_ref(name), true, now_ms);
    let orders = plan(placement, now_ms);
    assert_eq!(orders, [placement::Order::Load(adapter_ref(name))]);
    placement.apply_order_result(&orders[0], placement::OrderResult::Applied, now_ms);
}

fn fill(placement: &mut placement::Placement) {
    for index in 0..CAPACITY {
        load(placement, &format!("a{index}"), index as u64);
    }
}

#[test]
fn nothing_is_unloaded_while_slots_are_free() {
    let mut placement = placement(0);
    load(&mut placement, "a0", 0);
    placement.add_demand(&adapter_ref("a1"), true, 10_000);
    let orders = plan(&mut placement, 10_000);
    assert_eq!(orders, [placement::Order::Load(adapter_ref("a1"))]);
}

#[test]
fn the_least_used_adapter_is_unloaded() {
    let mut placement = placement(0);
    fill(&mut placement);
    let often = dispatch::AdapterUse { in_flight: 0, started: 20 };
    for name in ["a0", "a2", "a3"] {
        placement.record_use(&name::AdapterName::from(name), often, 100);
    }
    placement.add_demand(&adapter_ref("new"), true, 2_000);
    let unload = placement::Order::Unload(name::AdapterName::from("a1"));
    assert_eq!(plan(&mut placement, 2_000), std::slice::from_ref(&unload));
    placement.apply_order_result(&unload, placement::OrderResult::Applied, 2_005);
    placement.add_demand(&adapter_ref("new"), true, 2_005);
    assert_eq!(plan(&mut placement, 2_005), [placement::Order::Load(adapter_ref("new"))]);
}

#[test]
fn demands_that_meet_the_deadline_are_served_first_and_then_the_most_requested() {
    let mut placement = placement(0);
    placement.add_demand(&adapter_ref("late"), true, 0);
    placement.add_demand(&adapter_ref("late"), true, 0);
    placement.add_demand(&adapter_ref("late"), false, 690);
    placement.add_demand(&adapter_ref("one"), true, 690);
    placement.add_demand(&adapter_ref("two"), true, 695);
    placement.add_demand(&adapter_ref("two"), true, 695);
    for name in ["two", "one", "late"] {
        let load = placement::Order::Load(adapter_ref(name));
        assert_eq!(plan(&mut placement, 695), std::slice::from_ref(&load));
        placement.apply_order_result(&load, placement::OrderResult::Accepted, 695);
    }
}

#[test]
fn an_adapter_in_use_is_never_unloaded() {
    let mut placement = placement(0);
    fill(&mut placement);
    let in_use = dispatch::AdapterUse { in_flight: 1, started: 0 };
    for index in 0..CAPACITY {
        placement.record_use(&name::AdapterName::from(format!("a{index}")), in_use, 100);
    }
    placement.add_demand(&adapter_ref("new"), true, 9_000);
    assert_eq!(plan(&mut placement, 9_000), []);
}

#[test]
fn an_adapter_used_before_its_unload_is_accepted_stays() {
    let mut placement = placement(0);
    fill(&mut placement);
    placement.add_demand(&adapter_ref("new"), true, 2_000);
    let orders = plan(&mut placement, 2_000);
    let [placement::Order::Unload(least_used)] = orders.as_slice() else {
        panic!("{orders:?}");
    };
    placement.apply_order_result(&orders[0], placement::OrderResult::Busy, 2_010);
    let in_use = dispatch::AdapterUse { in_flight: 1, started: 0 };
    placement.record_use(least_used, in_use, 2_020);
    let held = placement.summary().held;
    assert!(held.iter().any(|held| held.adapter.name() == least_used));
    placement.add_demand(&adapter_ref("new"), false, 2_040);
    let orders = plan(&mut placement, 2_040);
    assert!(!orders.contains(&placement::Order::Unload(least_used.clone())), "{orders:?}");
}

#[test]
fn an_unanswered_load_keeps_its_slot_while_it_may_be_executed() {
    let mut placement = placement(0);
    fill(&mut placement);
    placement.mark_missing(&name::AdapterName::from("a0"), 100);
    let orders = plan(&mut placement, 100);
    placement.apply_order_result(&orders[0], placement::OrderResult::Unanswered, 500);
    let again = plan(&mut placement, 1_000);
    placement.apply_order_result(&again[0], placement::OrderResult::Applied, 1_000);
    let heavy = dispatch::AdapterUse { in_flight: 0, started: 50 };
    for name in ["a1", "a2", "a3"] {
        placement.record_use(&name::AdapterName::from(name), heavy, 2_000);
    }
    placement.add_demand(&adapter_ref("new"), true, 9_000);
    let orders = plan(&mut placement, 9_000);
    assert_ne!(orders, [placement::Order::Unload(name::AdapterName::from("a0"))]);
}

/// Guards against the unload of an adapter that an unanswered load of another version may restore.
#[test]
fn an_unanswered_load_keeps_its_slot_when_a_newer_version_is_demanded() {
    let mut placement = placement(0);
    placement.add_demand(&adapter_ref("a0"), true, 0);
    let orders = plan(&mut placement, 0);
    let newer = adapter::AdapterRef::new(name::AdapterName::from("a0"), 2);
    placement.request_version(&newer, 100);
    assert_eq!(plan(&mut placement, 100), []);
    placement.apply_order_result(&orders[0], placement::OrderResult::Unanswered, 200);
    let again = plan(&mut placement, 300);
    assert_eq!(again, [placement::Order::Load(newer)]);
    placement.apply_order_result(&again[0], placement::OrderResult::Applied, 300);
    for index in 1..CAPACITY {
        load(&mut placement, &format!("a{index}"), 300);
    }
    let heavy = dispatch::AdapterUse { in_flight: 1, started: 50 };
    for index in 1..CAPACITY {
        placement.record_use(&name::AdapterName::from(format!("a{index}")), heavy, 300);
    }
    let late_until_ms = 200 + placement::LATE_ORDER_WINDOW_MS;
    placement.add_demand(&adapter_ref("new"), true, late_until_ms - 1);
    assert_eq!(plan(&mut placement, late_until_ms - 1), []);
    let unload = placement::Order::Unload(name::AdapterName::from("a0"));
    assert_eq!(plan(&mut placement, late_until_ms), [unload]);
}

/// Guards against an overfilled worker: a dead holder's loads may be executed after the takeover.
#[test]
fn slots_are_reserved_for_late_orders_of_an_earlier_holder() {
    let listed = report(&[adapter_ref("a0")]);
    let late_until_ms = placement::LATE_ORDER_WINDOW_MS;
    let mut placement = placement_of(&listed, late_until_ms);
    for index in 1..=CAPACITY {
        placement.add_demand(&adapter_ref(&format!("a{index}")), true, 5_000);
    }
    assert_eq!(plan(&mut placement, 5_000), []);
    for index in 1..=CAPACITY {
        placement.add_demand(&adapter_ref(&format!("a{index}")), true, late_until_ms);
    }
    placement.apply_report(&listed, late_until_ms);
    assert!(!plan(&mut placement, late_until_ms).is_empty());
}

#[test]
fn adapters_loaded_by_late_orders_of_an_earlier_holder_occupy_slots() {
    let late_until_ms = placement::LATE_ORDER_WINDOW_MS;
    let mut placement = placement(late_until_ms);
    assert!(!placement.needs_report(late_until_ms - 1));
    assert!(placement.needs_report(late_until_ms));
    let late = ["x0", "x1", "x2"].map(adapter_ref);
    placement.apply_report(&report(&late), late_until_ms);
    assert!(!placement.needs_report(late_until_ms));
    for name in ["a0", "a1"] {
        placement.add_demand(&adapter_ref(name), true, late_until_ms);
    }
    let load = placement::Order::Load(adapter_ref("a0"));
    assert_eq!(plan(&mut placement, late_until_ms), std::slice::from_ref(&load));
    placement.apply_order_result(&load, placement::OrderResult::Accepted, late_until_ms);
    assert_eq!(plan(&mut placement, late_until_ms), []);
}

#[test]
fn a_newer_version_replaces_the_resident_one() {
    let mut placement = placement(0);
    load(&mut placement, "a0", 0);
    let newer = adapter::AdapterRef::new(name::AdapterName::from("a0"), 2);
    placement.request_version(&newer, 1_000);
    assert_eq!(plan(&mut placement, 1_000), [placement::Order::Load(newer.clone())]);
    placement.apply_order_result(
        &placement::Order::Load(newer.clone()),
        placement::OrderResult::Applied,
        1_300,
    );
    assert_eq!(placement.summary().held[0].adapter, newer);
}

#[test]
fn the_base_model_is_loaded_before_adapters() {
    let base_model = name::BaseModelName::from("m");
    let mut placement = placement_of(&placement::WorkerState::default(), 0);
    placement.add_demand(&adapter_ref("a0"), true, 0);
    let load = placement::Order::LoadBase(base_model);
    assert_eq!(plan(&mut placement, 0), std::slice::from_ref(&load));
    placement.apply_order_result(&load, placement::OrderResult::Applied, 2_000);
    placement.add_demand(&adapter_ref("a0"), true, 2_000);
    assert_eq!(plan(&mut placement, 2_000), [placement::Order::Load(adapter_ref("a0"))]);
}

/// Simulated worker that executes orders, some of them late.
#[derive(Default)]
struct Worker {
    held: BTreeMap<String, u32>,
    late: Vec<(u64, placement::Order)>,
}

impl Worker {
    fn execute(&mut self, order: &placement::Order) {
        match order {
            placement::Order::Load(adapter) => {
                self.held.insert(adapter.name().to_string(), adapter.version());
            }
            placement::Order::Unload(adapter) => {
                self.held.remove(adapter.as_str());
            }
            placement::Order::LoadBase(_) => {}
        }
        assert!(self.held.len() <= CAPACITY, "the worker holds too many adapters");
    }

    fn advance(&mut self, now_ms: u64) {
        let (due, later) = self.late.drain(..).partition(|(at_ms, _)| *at_ms <= now_ms);
        self.late = later;
        let due: Vec<(u64, placement::Order)> = due;
        for (_, order) in due {
            self.execute(&order);
        }
    }
}

proptest! {
    /// The adapter capacity is never exceeded, whichever orders are unanswered, late or refused as busy.
    #[test]
    fn orders_never_exceed_the_capacity(
        steps in proptest::collection::vec((0_usize..9, 0_u8..4, 1_u64..900), 1..300),
    ) {
        let mut placement = placement(0);
        let mut worker = Worker::default();
        let mut now_ms = 0;
        for (wanted, outcome, pause_ms) in steps {
            now_ms += pause_ms;
            worker.advance(now_ms);
            placement.add_demand(&adapter_ref(&format!("a{wanted}")), true, now_ms);
            // Each order follows the answer to the one before; a worker starts three loads at most.
            for _ in 0..4 {
                let Some(order) = plan(&mut placement, now_ms).pop() else { break };
                let result = match outcome {
                    0 => {
                        worker.late.push((now_ms + 2_000 + pause_ms * 11, order.clone()));
                        placement::OrderResult::Unanswered
                    }
                    1 => placement::OrderResult::Busy,
                    _ => {
                        worker.execute(&order);
                        placement::OrderResult::Applied
                    }
                };
                placement.apply_order_result(&order, result, now_ms);
            }
        }
    }
}

#[test]
fn the_predicted_wait_for_a_load_grows_while_all_slots_are_in_use() {
    const WAITING: usize = 20;
    let mut placement = placement(0);
    fill(&mut placement);
    let used = dispatch::AdapterUse { in_flight: 1, started: 1 };
    for index in 0..CAPACITY {
        placement.record_use(&name::AdapterName::from(format!("a{index}").as_str()), used, 100);
    }
    let mut wait_ms = |now_ms: u64, demands: usize| {
        for index in 0..demands {
            placement.add_demand(&adapter_ref(&format!("b{index}")), true, now_ms);
        }
        plan(&mut placement, now_ms);
        placement.summary().load_wait_ms
    };
    assert!(wait_ms(1_000, WAITING) < 3_000);
    assert!(wait_ms(1_500, WAITING) >= 10_000);
    assert_eq!(wait_ms(9_000, 0), 0, "demands that nobody confirms expire");
}
