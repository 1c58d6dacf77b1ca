//! Builders for tests of workers.

use jasminetack_domain::adapter;
use jasminetack_domain::lease;
use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_domain::worker;

pub type TestWorker = worker::Worker<worker::WeightedFair, worker::DecayedDemand>;

pub const LIMITS: worker::Limits = worker::Limits {
    slots: 2,
    batch_places: 4,
    long_work_tokens: 1_000,
    max_queue_length: 8,
    max_queue_wait_ms: 30_000,
};

pub fn adapter(name: &str) -> adapter::AdapterRef {
    adapter::AdapterRef::new(name::AdapterName::from(name), 1)
}

pub fn grant(fencing: u64, refuses_old_fencing: bool) -> lease::Grant {
    let worker = name::WorkerName::from("worker-1");
    let fencing = adapter::FencingToken::new(fencing);
    lease::Grant { worker, fencing, refuses_old_fencing }
}

/// A worker of an empty engine that refuses old fencing numbers.
pub fn empty_worker(limits: worker::Limits) -> TestWorker {
    let mut worker = acquired(grant(2, true), limits);
    list(&mut worker, &[], 0);
    worker
}

pub fn acquired(grant: lease::Grant, limits: worker::Limits) -> TestWorker {
    worker::Worker::new(grant, limits, worker::WeightedFair::default(), worker::DecayedDemand)
}

pub fn list(worker: &mut TestWorker, names: &[&str], now_ms: u64) -> worker::Reconciliation {
    let names = names.iter().map(|name| (*name).to_owned()).collect();
    let listing = worker::InstanceListing { names, generation: worker.generation() };
    worker.reconcile(&listing, now_ms)
}

pub fn job(id: &str, adapter_name: &str, now_ms: u64) -> worker::Job {
    worker::Job {
        request_id: name::RequestId::from(id),
        adapter: adapter(adapter_name),
        team: name::TeamName::from("desk"),
        weight: 1,
        share: 1,
        class: request::Class::Normal,
        cost_tokens: 100,
        submitted_ms: now_ms,
        deadline_ms: now_ms + 60_000,
    }
}

/// Loads every adapter that is wanted; returns the orders to unload.
pub fn load_all(worker: &mut TestWorker, now_ms: u64) -> Vec<worker::UnloadOrder> {
    let plan = worker.plan(8, now_ms);
    for order in plan.loads {
        worker.load_succeeded(&order.instance, now_ms);
    }
    plan.unloads
}

pub fn started(worker: &mut TestWorker, now_ms: u64) -> Vec<String> {
    let starts = worker.start_ready(now_ms).into_iter();
    starts.map(|start| start.request_id.to_string()).collect()
}

pub fn id(text: &str) -> name::RequestId {
    name::RequestId::from(text)
}
