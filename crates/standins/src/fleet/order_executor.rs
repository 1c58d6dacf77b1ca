//! Execution of orders by a worker.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hyper::StatusCode;

/// An order as received.
#[derive(Clone, Debug)]
pub struct Order {
    /// `load` or `unload`.
    pub operation: String,
    /// Adapter; empty for the base model.
    pub adapter: String,
    /// Version to load; `None` for the newest.
    pub version: Option<u64>,
    /// Number of accepted orders at which the order may be executed.
    pub precondition: Option<u64>,
}

/// Outcome of an order.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Status of the response.
    pub status: StatusCode,
    /// Adapter that was unloaded, and its version.
    pub unloaded: Option<(String, u64)>,
}

/// Adapters of a worker that holds its base model, and the number of orders that it accepted.
#[derive(Clone, Debug)]
pub struct OrderExecutor {
    load_time: Duration,
    /// Loaded and loading adapters: version, and the time at which loading finishes.
    adapters: BTreeMap<String, (u64, Instant)>,
    sequence: u64,
}

impl OrderExecutor {
    /// Creates the state of a worker without adapters, whose loads take `load_time`.
    pub fn new(load_time: Duration) -> Self {
        Self { load_time, adapters: BTreeMap::new(), sequence: 0 }
    }

    /// Returns the number of accepted orders.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the loaded and loading adapters.
    pub fn adapters(&self) -> &BTreeMap<String, (u64, Instant)> {
        &self.adapters
    }

    /// Lists the adapters that are loaded, or those that are being loaded, as `NAME@VERSION`.
    pub fn listed(&self, is_ready: bool, prefix: &str, now: Instant) -> Vec<String> {
        let chosen = self.adapters.iter().filter(|(_, (_, ready))| (*ready <= now) == is_ready);
        chosen.map(|(name, (version, _))| format!("{prefix}{name}@{version}")).collect()
    }

    /// Drops all adapters and counts anew.
    pub fn restart(&mut self) {
        self.adapters.clear();
        self.sequence = 0;
    }

    /// Executes an order; the newest version of its adapter is `latest`.
    pub fn execute(
        &mut self,
        order: &Order,
        latest: u64,
        checks_preconditions: bool,
        now: Instant,
    ) -> Outcome {
        let precondition = order.precondition.filter(|_| checks_preconditions);
        let holds = precondition.is_none_or(|expected| expected == self.sequence);
        if order.operation == "unload" {
            return self.unload(order, holds);
        }
        let status = match (order.adapter.is_empty(), holds) {
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::CONFLICT,
            (false, _) => self.load(order, latest, holds, now),
        };
        Outcome { status, unloaded: None }
    }

    fn load(&mut self, order: &Order, latest: u64, holds: bool, now: Instant) -> StatusCode {
        let version = order.version.unwrap_or(latest);
        let held = self.adapters.get(&order.adapter);
        let held = held.filter(|(loaded, _)| *loaded == version);
        // A load in progress is acknowledged whatever its precondition.
        if held.is_some_and(|(_, ready)| *ready > now) {
            return StatusCode::ACCEPTED;
        }
        if !holds {
            return StatusCode::CONFLICT;
        }
        if held.is_some() {
            return StatusCode::OK;
        }
        self.sequence += 1;
        self.adapters.insert(order.adapter.clone(), (version, now + self.load_time));
        StatusCode::ACCEPTED
    }

    fn unload(&mut self, order: &Order, holds: bool) -> Outcome {
        if !self.adapters.contains_key(&order.adapter) {
            return Outcome { status: StatusCode::OK, unloaded: None };
        }
        if !holds {
            return Outcome { status: StatusCode::CONFLICT, unloaded: None };
        }
        self.sequence += 1;
        let unloaded = self.adapters.remove(&order.adapter);
        let unloaded = unloaded.map(|(version, _)| (order.adapter.clone(), version));
        Outcome { status: StatusCode::OK, unloaded }
    }
}
