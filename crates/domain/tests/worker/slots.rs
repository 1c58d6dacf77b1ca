//! Tests of slots, pins, load orders and reconciliation with the engine.

use crate::common::{
    LIMITS, adapter, empty_worker, grant, id, job, list, load_all, new_worker, start_ready_ids,
};
use jasminetack_domain::adapter::{FencingToken, InstanceName};
use jasminetack_domain::worker;

/// Guards against the eviction of an adapter while a request uses it.
#[test]
fn pinned_adapter_is_not_evicted() {
    let mut worker = empty_worker(worker::Limits { slots: 1, ..LIMITS });
    worker.submit(job("r1", "a", 0), 0).unwrap();
    load_all(&mut worker, 0);
    assert_eq!(start_ready_ids(&mut worker, 0), ["r1"]);
    worker.submit(job("r2", "b", 5_000), 5_000).unwrap();
    assert!(load_all(&mut worker, 5_000).is_empty());
    worker.finish(&id("r1"), Some(10), 6_000);
    let unloads = load_all(&mut worker, 6_000);
    assert_eq!(unloads[0].instance.as_str(), "a@1");
    worker.unload_finished(&unloads[0].instance, true, 6_001);
    load_all(&mut worker, 6_002);
    assert_eq!(start_ready_ids(&mut worker, 6_003), ["r2"]);
}

/// Two adapters that compete for one slot must not evict each other with each request.
#[test]
fn new_instance_stays_for_two_seconds() {
    let mut worker = empty_worker(worker::Limits { slots: 1, ..LIMITS });
    worker.submit(job("r1", "a", 0), 0).unwrap();
    load_all(&mut worker, 0);
    start_ready_ids(&mut worker, 0);
    worker.finish(&id("r1"), None, 100);
    worker.submit(job("r2", "b", 100), 100).unwrap();
    assert!(load_all(&mut worker, 1_999).is_empty());
    assert_eq!(load_all(&mut worker, 2_000).len(), 1);
}

/// An adapter that is never idle must not starve the others: no new request starts on it once another
/// adapter has waited long enough.
#[test]
fn busy_slot_is_drained_for_a_waiting_adapter() {
    let mut worker = empty_worker(worker::Limits { slots: 1, ..LIMITS });
    worker.submit(job("hot-0", "hot", 0), 0).unwrap();
    load_all(&mut worker, 0);
    start_ready_ids(&mut worker, 0);
    worker.submit(job("cold", "cold", 0), 0).unwrap();
    load_all(&mut worker, 2_500);
    worker.submit(job("hot-1", "hot", 2_600), 2_600).unwrap();
    assert!(start_ready_ids(&mut worker, 2_600).is_empty());
    worker.finish(&id("hot-0"), None, 2_700);
    let unloads = load_all(&mut worker, 2_700);
    assert_eq!(unloads[0].instance.as_str(), "hot@1");
}

/// Guards against the eviction of the popular adapter instead of the one without demand.
#[test]
fn least_demanded_adapter_is_evicted() {
    let mut worker = empty_worker(LIMITS);
    for (index, name) in ["a", "b", "a"].iter().enumerate() {
        let request = format!("r{index}");
        worker.submit(job(&request, name, 0), 0).unwrap();
        load_all(&mut worker, 0);
        start_ready_ids(&mut worker, 0);
        worker.finish(&id(&request), None, 10);
    }
    worker.submit(job("r9", "c", 3_000), 3_000).unwrap();
    let unloads = load_all(&mut worker, 3_000);
    assert_eq!(unloads.len(), 1);
    assert_eq!(unloads[0].instance.as_str(), "b@1");
}

/// A failed load must not be repeated at once, and the requests that wait for it must be refused so
/// that they can be routed to another worker.
#[test]
fn failed_load_backs_off_and_refuses_its_requests() {
    let mut worker = empty_worker(LIMITS);
    let mut now_ms = 0;
    for pause_ms in [500, 1_000, 2_000] {
        worker.submit(job("r1", "a", now_ms), now_ms).unwrap();
        let plan = worker.plan(8, now_ms);
        let instance = &plan.loads[0].instance;
        let refused = worker.load_failed(instance, worker::LoadFailure::Refused, now_ms);
        assert_eq!(refused[0].refusal.reason, worker::RefusalReason::LoadFailed);
        assert_eq!(refused[0].refusal.retry_after_ms, pause_ms);
        let early = worker.submit(job("r1", "a", now_ms), now_ms + pause_ms - 1);
        assert_eq!(early.unwrap_err().reason, worker::RefusalReason::LoadFailed);
        now_ms += pause_ms;
    }
}

/// An unanswered load may still take effect, so its slot must not be reused before a listing confirms
/// the load or 10 s have passed.
#[test]
fn unanswered_load_keeps_its_slot_until_a_listing_confirms_it_or_it_times_out() {
    let mut worker = empty_worker(worker::Limits { slots: 1, ..LIMITS });
    worker.submit(job("r1", "a", 0), 0).unwrap();
    let plan = worker.plan(8, 0);
    worker.load_failed(&plan.loads[0].instance, worker::LoadFailure::Unknown, 1_000);
    worker.submit(job("r2", "b", 1_000), 1_000).unwrap();
    assert_eq!(worker.plan(8, 1_000), worker::Plan::default());
    list(&mut worker, &[], 2_000);
    assert!(worker.plan(8, 2_000).loads.is_empty());
    list(&mut worker, &["a@1"], 3_000);
    assert_eq!(worker.slots()[0].state(), worker::SlotState::Loaded);
    list(&mut worker, &[], 12_000);
    assert_eq!(worker.plan(8, 12_000).loads[0].adapter, adapter("b"));
}

/// Guards against prefetches that delay a load for which a request waits.
#[test]
fn needed_load_goes_before_prefetch() {
    let mut worker = empty_worker(LIMITS);
    worker.prefetch(adapter("p"));
    worker.submit(job("r1", "a", 0), 0).unwrap();
    let plan = worker.plan(1, 0);
    assert_eq!(plan.loads[0].adapter, adapter("a"));
    assert_eq!(plan.loads[0].request_id, Some(id("r1")));
    let plan = worker.plan(1, 0);
    assert_eq!(plan.loads[0].adapter, adapter("p"));
    assert_eq!(plan.loads[0].request_id, None);
}

/// Guards against the unload of an inherited instance while requests of the former owner still run on
/// it, on an engine that refuses old fencing tokens.
#[test]
fn inherited_instance_is_kept_until_a_later_report_shows_it_idle() {
    let mut worker = new_worker(grant(2, true), worker::Limits { slots: 1, ..LIMITS });
    list(&mut worker, &["a@1", "base-model"], 0);
    worker.submit(job("r1", "b", 0), 0).unwrap();
    assert!(worker.plan(8, 3_000).unloads.is_empty());
    worker.order_acknowledged(3_000);
    worker.apply_load_report(&worker::LoadReport { taken_ms: 2_900, in_use: Vec::new() });
    assert!(worker.plan(8, 3_100).unloads.is_empty());
    let in_use = vec![InstanceName::unfenced(&adapter("a"))];
    worker.apply_load_report(&worker::LoadReport { taken_ms: 3_100, in_use });
    assert!(worker.plan(8, 3_200).unloads.is_empty());
    worker.apply_load_report(&worker::LoadReport { taken_ms: 3_300, in_use: Vec::new() });
    assert_eq!(worker.plan(8, 3_300).unloads[0].instance.as_str(), "a@1");
}

/// Guards against the use of an instance that a delayed order of its former owner can unload, and
/// against its unload while that owner may still use it.
#[test]
fn instance_of_other_owner_is_not_used_and_is_unloaded_only_after_that_owner_ended() {
    let mut worker = new_worker(grant(5, false), worker::Limits { slots: 1, ..LIMITS });
    list(&mut worker, &["a@1.f4"], 0);
    worker.submit(job("r1", "a", 0), 0).unwrap();
    assert!(start_ready_ids(&mut worker, 3_000).is_empty());
    worker.order_acknowledged(0);
    worker.apply_load_report(&worker::LoadReport { taken_ms: 3_000, in_use: Vec::new() });
    worker.former_owner_ended(FencingToken::new(3));
    assert_eq!(worker.plan(8, 3_000), worker::Plan::default());
    worker.former_owner_ended(FencingToken::new(4));
    let unloads = worker.plan(8, 3_100).unloads;
    assert_eq!(unloads[0].instance.as_str(), "a@1.f4");
    worker.unload_finished(&unloads[0].instance, true, 3_200);
    assert_eq!(worker.plan(8, 3_200).loads[0].instance.as_str(), "a@1.f5");
}

/// Guards against starting a request on an instance that the engine lost in a restart, and against
/// the end of a request from before the restart releasing the pin of a later one.
#[test]
fn lost_instance_is_loaded_again_with_the_right_pins() {
    let mut worker = empty_worker(worker::Limits { slots: 1, ..LIMITS });
    for request in ["r1", "r2"] {
        worker.submit(job(request, "a", 0), 0).unwrap();
    }
    load_all(&mut worker, 0);
    assert_eq!(start_ready_ids(&mut worker, 0).len(), 2);
    assert!(worker.instance_missing(&id("r2"), 10).is_none());
    list(&mut worker, &[], 20);
    load_all(&mut worker, 20);
    assert_eq!(start_ready_ids(&mut worker, 30), ["r2"]);
    worker.finish(&id("r1"), None, 40);
    worker.submit(job("r3", "b", 5_000), 5_000).unwrap();
    assert!(worker.plan(8, 5_000).unloads.is_empty());
}

/// Guards against applying a listing that was requested before an order began, which could restore an
/// instance that was unloaded in the meantime.
#[test]
fn listing_requested_before_an_order_is_ignored() {
    let mut worker = empty_worker(LIMITS);
    let generation = worker.generation();
    worker.submit(job("r1", "a", 0), 0).unwrap();
    let plan = worker.plan(8, 0);
    let listing = worker::InstanceListing { names: vec!["z@1".to_owned()], generation };
    assert!(worker.reconcile(&listing, 10).is_stale);
    worker.load_succeeded(&plan.loads[0].instance, 20);
    assert_eq!(worker.slots().len(), 1);
}
