//! Scheduling policies of owners that can be chosen at start.

use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_domain::worker;

/// Order of waiting requests: the product's or the baseline.
#[derive(Clone, Debug)]
pub enum Order {
    /// The product's order.
    WeightedFair(worker::WeightedFair),
    /// Arrival order.
    FirstInFirstOut(worker::FirstInFirstOut),
}

/// Value of loaded adapters: the product's or the baseline.
#[derive(Clone, Copy, Debug)]
pub enum Value {
    /// The product's value.
    DecayedDemand(worker::DecayedDemand),
    /// Time of the last use.
    LeastRecentlyUsed(worker::LeastRecentlyUsed),
}

impl Order {
    /// Creates the order for a policy setting; every baseline queues in arrival order.
    pub fn for_policy(policy: &str) -> Self {
        if policy == "scored" {
            return Self::WeightedFair(worker::WeightedFair::default());
        }
        Self::FirstInFirstOut(worker::FirstInFirstOut)
    }
}

impl Value {
    /// Creates the value for a policy setting; every baseline evicts the least recently used.
    pub fn for_policy(policy: &str) -> Self {
        if policy == "scored" {
            return Self::DecayedDemand(worker::DecayedDemand);
        }
        Self::LeastRecentlyUsed(worker::LeastRecentlyUsed)
    }
}

impl worker::QueueDiscipline for Order {
    fn select_next<'a, Jobs>(&self, startable: Jobs, now_ms: u64) -> Option<usize>
    where
        Jobs: Iterator<Item = (usize, &'a worker::Job)>,
    {
        match self {
            Self::WeightedFair(order) => order.select_next(startable, now_ms),
            Self::FirstInFirstOut(order) => order.select_next(startable, now_ms),
        }
    }

    fn team_became_active(&mut self, team: &name::TeamName) {
        match self {
            Self::WeightedFair(order) => order.team_became_active(team),
            Self::FirstInFirstOut(order) => order.team_became_active(team),
        }
    }

    fn record_start(&mut self, job: &worker::Job) {
        match self {
            Self::WeightedFair(order) => order.record_start(job),
            Self::FirstInFirstOut(order) => order.record_start(job),
        }
    }

    fn max_long_running(&self, batch_places: usize) -> usize {
        match self {
            Self::WeightedFair(order) => order.max_long_running(batch_places),
            Self::FirstInFirstOut(order) => order.max_long_running(batch_places),
        }
    }

    fn engine_priority(&self, class: request::Class) -> Option<i32> {
        match self {
            Self::WeightedFair(order) => order.engine_priority(class),
            Self::FirstInFirstOut(order) => order.engine_priority(class),
        }
    }
}

impl worker::EvictionPolicy for Value {
    fn retention_value(
        &self,
        slot: &worker::Slot,
        demand: &worker::DecayedCount,
        now_ms: u64,
    ) -> f64 {
        match self {
            Self::DecayedDemand(value) => value.retention_value(slot, demand, now_ms),
            Self::LeastRecentlyUsed(value) => value.retention_value(slot, demand, now_ms),
        }
    }

    fn min_residence_ms(&self) -> u64 {
        match self {
            Self::DecayedDemand(value) => value.min_residence_ms(),
            Self::LeastRecentlyUsed(value) => value.min_residence_ms(),
        }
    }
}
