//! Simulated worker with the platform's rules for preconditions.

use std::collections::BTreeMap;

use jasminetack_domain::adapter;
use jasminetack_domain::name;
use jasminetack_domain::placement;

pub const CAPACITY: usize = 4;
pub const LOAD_MS: u64 = 250;

/// Worker that holds its base model.
pub struct Worker {
    pub sequence: u64,
    pub checks_preconditions: bool,
    /// Adapters, and when their loads end.
    pub adapters: BTreeMap<String, u64>,
    /// Orders that are executed later, and when.
    late: Vec<(u64, placement::PlannedOrder)>,
    /// Adapters whose running requests delay their unload.
    pub in_use: Vec<String>,
    unloading: Option<String>,
    pub is_overfilled: bool,
    pub started_ms: u64,
}

impl Worker {
    pub fn new(checks_preconditions: bool) -> Self {
        Self {
            sequence: 100,
            checks_preconditions,
            adapters: BTreeMap::new(),
            late: Vec::new(),
            in_use: Vec::new(),
            unloading: None,
            is_overfilled: false,
            started_ms: 0,
        }
    }

    /// Executes an order and returns its result.
    pub fn execute(
        &mut self,
        planned: &placement::PlannedOrder,
        now_ms: u64,
    ) -> placement::OrderResult {
        let holds = !self.checks_preconditions || planned.precondition == Some(self.sequence);
        match &planned.order {
            placement::Order::LoadBase(_) if holds => placement::OrderResult::Applied,
            placement::Order::LoadBase(_) => placement::OrderResult::Busy,
            placement::Order::Load(adapter) => self.load(adapter.name().as_str(), holds, now_ms),
            placement::Order::Unload(adapter) => self.unload(adapter.as_str(), holds),
        }
    }

    fn load(&mut self, adapter: &str, holds: bool, now_ms: u64) -> placement::OrderResult {
        if self.unloading.is_some() {
            return placement::OrderResult::Busy;
        }
        if self.adapters.get(adapter).is_some_and(|ready_ms| *ready_ms > now_ms) {
            return placement::OrderResult::Accepted;
        }
        if !holds {
            return placement::OrderResult::Busy;
        }
        if self.adapters.contains_key(adapter) {
            return placement::OrderResult::Applied;
        }
        self.sequence += 1;
        self.adapters.insert(adapter.to_owned(), now_ms + LOAD_MS);
        self.is_overfilled |= self.adapters.len() > CAPACITY;
        placement::OrderResult::Accepted
    }

    fn unload(&mut self, adapter: &str, holds: bool) -> placement::OrderResult {
        if let Some(unloading) = &self.unloading {
            let is_same = unloading == adapter;
            return if is_same {
                placement::OrderResult::Accepted
            } else {
                placement::OrderResult::Busy
            };
        }
        if !self.adapters.contains_key(adapter) {
            return placement::OrderResult::Applied;
        }
        if !holds {
            return placement::OrderResult::Busy;
        }
        self.sequence += 1;
        if self.in_use.iter().any(|used| used == adapter) {
            self.unloading = Some(adapter.to_owned());
            return placement::OrderResult::Accepted;
        }
        self.adapters.remove(adapter);
        placement::OrderResult::Applied
    }

    /// Ends all running requests, and with them an unload that waits for them.
    pub fn end_requests(&mut self) {
        self.in_use.clear();
        if let Some(adapter) = self.unloading.take() {
            self.adapters.remove(&adapter);
        }
    }

    /// Leaves an order unanswered and executes it at `at_ms`.
    pub fn delay(&mut self, planned: &placement::PlannedOrder, at_ms: u64) {
        self.late.push((at_ms, planned.clone()));
    }

    /// Executes the late orders that are due.
    pub fn advance(&mut self, now_ms: u64) {
        let (due, later) = self.late.drain(..).partition(|(at_ms, _)| *at_ms <= now_ms);
        self.late = later;
        let due: Vec<(u64, placement::PlannedOrder)> = due;
        for (at_ms, planned) in &due {
            self.execute(planned, *at_ms);
        }
    }

    /// Starts anew under the same name.
    pub fn restart(&mut self, now_ms: u64) {
        self.sequence = 0;
        self.adapters.clear();
        self.unloading = None;
        self.started_ms = now_ms;
    }

    /// Returns the worker's report.
    pub fn report(&self, now_ms: u64) -> placement::WorkerState {
        let list = |is_resident: bool| {
            let chosen =
                self.adapters.iter().filter(|(_, ready)| (**ready <= now_ms) == is_resident);
            let name = |(name, _): (&String, &u64)| name::AdapterName::from(name.as_str());
            chosen.map(|adapter| adapter::AdapterRef::new(name(adapter), 0)).collect()
        };
        placement::WorkerState {
            has_base_model: true,
            resident: list(true),
            loading: list(false),
            sequence: Some(self.sequence),
        }
    }
}
