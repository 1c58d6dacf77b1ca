//! Holder that sends the orders of its placement to a simulated worker.

use jasminetack_domain::adapter;
use jasminetack_domain::name;
use jasminetack_domain::placement;

use crate::worker::{CAPACITY, Worker};

const MIN_IDLE_MS: u64 = 200;
/// No loads in flight on other workers.
const ALONE: placement::FleetLoads = placement::FleetLoads {
    others_in_flight: 0,
    limit: 8,
    may_load_base_model: true,
    other_base_loads: 0,
};
/// Unix time of the start of each test.
pub const EPOCH_MS: u64 = 1_790_000_000_000;

/// Daemon that holds the order lease of a worker.
pub struct Holder {
    pub placement: placement::Placement,
    /// Reports requested, including the one after the claim.
    pub reports: usize,
}

pub fn adapter_ref(name: &str) -> adapter::AdapterRef {
    adapter::AdapterRef::new(name::AdapterName::from(name), 0)
}

fn limits() -> placement::Limits {
    placement::Limits { adapter_capacity: CAPACITY, base_model: name::BaseModelName::from("m") }
}

impl Holder {
    /// Claims a worker and reads its report.
    pub fn claim(worker: &Worker, now_ms: u64) -> Self {
        let started_unix_ms = EPOCH_MS + worker.started_ms;
        let unrecorded = placement::UnrecordedOrders::after_claim(
            true,
            started_unix_ms,
            EPOCH_MS + now_ms,
            now_ms,
        );
        Self::with_report(&worker.report(now_ms), unrecorded, now_ms)
    }

    pub fn with_report(
        report: &placement::WorkerState,
        unrecorded: placement::UnrecordedOrders,
        now_ms: u64,
    ) -> Self {
        let placement = placement::Placement::new(limits(), report, unrecorded, now_ms);
        Self { placement, reports: 1 }
    }

    pub fn request(&mut self, adapter: &str, now_ms: u64) {
        self.placement.add_demand(&adapter_ref(adapter), true, now_ms);
    }

    /// Returns the order to send now, after reading a report if one is needed.
    pub fn plan(&mut self, worker: &Worker, now_ms: u64) -> Option<placement::PlannedOrder> {
        if self.placement.needs_report(now_ms) {
            self.reports += 1;
            self.placement.apply_report(&worker.report(now_ms), now_ms);
        }
        self.placement.plan(ALONE, MIN_IDLE_MS, now_ms)
    }

    pub fn apply(
        &mut self,
        planned: &placement::PlannedOrder,
        result: placement::OrderResult,
        now_ms: u64,
    ) {
        self.placement.apply_order_result(&planned.order, result, now_ms);
    }

    /// Sends orders, each of which the worker answers, until none is due; returns them.
    pub fn run(&mut self, worker: &mut Worker, now_ms: u64) -> Vec<placement::PlannedOrder> {
        let mut sent = Vec::new();
        while let Some(planned) = self.plan(worker, now_ms) {
            let result = worker.execute(&planned, now_ms);
            self.apply(&planned, result, now_ms);
            sent.push(planned);
            assert!(sent.len() < 50, "orders without end: {sent:?}");
        }
        sent
    }

    /// Loads adapters one after the other, a second apart; returns when they are loaded.
    pub fn load_all(&mut self, worker: &mut Worker, adapters: &[&str], start_ms: u64) -> u64 {
        let mut now_ms = start_ms;
        for adapter in adapters {
            self.request(adapter, now_ms);
            self.run(worker, now_ms);
            now_ms += 500;
            self.run(worker, now_ms);
            now_ms += 500;
            assert!(worker.adapters.contains_key(*adapter), "{adapter} is not loaded");
        }
        now_ms
    }
}

/// Returns the names of the orders.
pub fn names(sent: &[placement::PlannedOrder]) -> Vec<String> {
    sent.iter().map(|planned| planned.order.to_string()).collect()
}
