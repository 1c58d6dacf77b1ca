//! Choice of workers, and the observations of workers that it uses.

use jasminetack_domain::name;
use jasminetack_domain::route;
use parking_lot::Mutex;
use rand::SeedableRng;

/// Chooses workers by one policy and records load and latency of workers.
#[derive(Debug)]
pub struct Router<RoutePolicy> {
    policy: RoutePolicy,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    observations: route::Observations,
    random: rand_pcg::Pcg64Mcg,
}

impl<RoutePolicy> Router<RoutePolicy>
where
    RoutePolicy: route::Policy,
{
    /// Creates a router whose random choices are determined by a seed.
    pub fn new(policy: RoutePolicy, seed: u64) -> Self {
        let random = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let state = State { observations: route::Observations::default(), random };
        Self { policy, state: Mutex::new(state) }
    }

    /// Chooses a worker, or `None` when no worker can serve the request.
    pub fn choose(
        &self,
        request: &route::RouteRequest<'_>,
        fleet: &route::Fleet,
        now_ms: u64,
    ) -> Option<route::Decision> {
        let mut state = self.state.lock();
        let State { observations, random } = &mut *state;
        self.policy.choose(request, fleet, observations, random, now_ms)
    }

    /// Counts a request that is sent to a worker; `record_end` must follow.
    pub fn record_sent(&self, worker: &name::WorkerName) {
        self.state.lock().observations.record_sent(worker);
    }

    /// Counts the end of a request at a worker.
    pub fn record_end(&self, worker: &name::WorkerName) {
        self.state.lock().observations.record_end(worker);
    }

    /// Applies the number of outstanding requests that a `Head` or `Progress` event reported.
    pub fn apply_report(&self, worker: &name::WorkerName, outstanding: u32, now_ms: u64) {
        self.state.lock().observations.apply_report(worker, outstanding, now_ms);
    }

    /// Records the time from sending a request to its first token.
    pub fn record_first_token(
        &self,
        worker: &name::WorkerName,
        base_model: &name::BaseModelName,
        elapsed_ms: f64,
        now_ms: u64,
    ) {
        let mut state = self.state.lock();
        let latencies = state.observations.latencies_mut();
        latencies.record_first_token(worker, base_model, elapsed_ms, now_ms);
    }

    /// Records the mean time between the tokens of a response or of a part of it.
    pub fn record_between_tokens(
        &self,
        worker: &name::WorkerName,
        base_model: &name::BaseModelName,
        elapsed_ms: f64,
        now_ms: u64,
    ) {
        let mut state = self.state.lock();
        let latencies = state.observations.latencies_mut();
        latencies.record_between_tokens(worker, base_model, elapsed_ms, now_ms);
    }
}
