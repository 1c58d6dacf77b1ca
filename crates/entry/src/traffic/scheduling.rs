//! Queueing and eviction policies of owners that the settings can select.

use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_domain::worker;

/// The selected queue discipline: the default or the baseline.
#[derive(Clone, Debug)]
pub enum SelectedQueue {
    /// Weighted fair queueing; the default.
    WeightedFair(worker::WeightedFair),
    /// Order of arrival.
    FirstInFirstOut(worker::FirstInFirstOut),
}

/// The selected eviction policy: the default or the baseline.
#[derive(Clone, Copy, Debug)]
pub enum SelectedEviction {
    /// Eviction by decayed demand; the default.
    DecayedDemand(worker::DecayedDemand),
    /// Eviction of the least recently used adapter.
    LeastRecentlyUsed(worker::LeastRecentlyUsed),
}

impl SelectedQueue {
    /// Creates the discipline for a policy name; every baseline queues in order of arrival.
    pub fn from_name(name: &str) -> Self {
        if name == "scored" {
            return Self::WeightedFair(worker::WeightedFair::default());
        }
        Self::FirstInFirstOut(worker::FirstInFirstOut)
    }
}

impl SelectedEviction {
    /// Creates the policy for a policy name; every baseline evicts the least recently used.
    pub fn from_name(name: &str) -> Self {
        if name == "scored" {
            return Self::DecayedDemand(worker::DecayedDemand);
        }
        Self::LeastRecentlyUsed(worker::LeastRecentlyUsed)
    }
}

impl worker::QueueDiscipline for SelectedQueue {
    fn select_next<'a, Jobs>(&self, startable: Jobs, now_ms: u64) -> Option<usize>
    where
        Jobs: Iterator<Item = (usize, &'a worker::Job)>,
    {
        match self {
            Self::WeightedFair(queue) => queue.select_next(startable, now_ms),
            Self::FirstInFirstOut(queue) => queue.select_next(startable, now_ms),
        }
    }

    fn team_became_active(&mut self, team: &name::TeamName) {
        match self {
            Self::WeightedFair(queue) => queue.team_became_active(team),
            Self::FirstInFirstOut(queue) => queue.team_became_active(team),
        }
    }

    fn record_start(&mut self, job: &worker::Job) {
        match self {
            Self::WeightedFair(queue) => queue.record_start(job),
            Self::FirstInFirstOut(queue) => queue.record_start(job),
        }
    }

    fn max_long_running(&self, batch_places: usize) -> usize {
        match self {
            Self::WeightedFair(queue) => queue.max_long_running(batch_places),
            Self::FirstInFirstOut(queue) => queue.max_long_running(batch_places),
        }
    }

    fn engine_priority(&self, class: request::Class) -> Option<i32> {
        match self {
            Self::WeightedFair(queue) => queue.engine_priority(class),
            Self::FirstInFirstOut(queue) => queue.engine_priority(class),
        }
    }
}

impl worker::EvictionPolicy for SelectedEviction {
    fn retention_value(
        &self,
        slot: &worker::Slot,
        demand: &worker::DecayedCount,
        now_ms: u64,
    ) -> f64 {
        match self {
            Self::DecayedDemand(eviction) => eviction.retention_value(slot, demand, now_ms),
            Self::LeastRecentlyUsed(eviction) => eviction.retention_value(slot, demand, now_ms),
        }
    }

    fn min_residence_ms(&self) -> u64 {
        match self {
            Self::DecayedDemand(eviction) => eviction.min_residence_ms(),
            Self::LeastRecentlyUsed(eviction) => eviction.min_residence_ms(),
        }
    }
}
