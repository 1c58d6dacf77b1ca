//! Properties of workers under random sequences of operations against a model of an engine.

use std::collections::{HashMap, HashSet};

use crate::common::{LIMITS, TestWorker, empty_worker, job, list};
use jasminetack_domain::adapter::InstanceName;
use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_domain::worker;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[derive(Clone, Debug)]
enum Operation {
    Submit { adapter: u8, team: u8, class: u8, cost_tokens: u64, timeout_ms: u64 },
    Start,
    Plan { max_loads: usize },
    EndLoad { pick: usize, is_answered: bool, is_effective: bool },
    EndUnload { pick: usize, is_answered: bool, is_effective: bool },
    Finish { pick: usize },
    Cancel { pick: usize },
    Expire,
    List,
    Restart,
    SetAvailable { is_available: bool },
    Advance { ms: u64 },
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        6 => (0..6_u8, 0..3_u8, 0..3_u8, 1..4_000_u64, 100..20_000_u64).prop_map(
            |(adapter, team, class, cost_tokens, timeout_ms)| Operation::Submit {
                adapter, team, class, cost_tokens, timeout_ms,
            }
        ),
        6 => Just(Operation::Start),
        5 => (0..4_usize).prop_map(|max_loads| Operation::Plan { max_loads }),
        5 => (any::<usize>(), prop::bool::weighted(0.8), any::<bool>()).prop_map(
            |(pick, is_answered, is_effective)| Operation::EndLoad {
                pick, is_answered, is_effective,
            }
        ),
        3 => (any::<usize>(), prop::bool::weighted(0.8), any::<bool>()).prop_map(
            |(pick, is_answered, is_effective)| Operation::EndUnload {
                pick, is_answered, is_effective,
            }
        ),
        4 => any::<usize>().prop_map(|pick| Operation::Finish { pick }),
        1 => any::<usize>().prop_map(|pick| Operation::Cancel { pick }),
        1 => Just(Operation::Expire),
        1 => Just(Operation::List),
        1 => Just(Operation::Restart),
        1 => prop::bool::weighted(0.8).prop_map(
            |is_available| Operation::SetAvailable { is_available }
        ),
        3 => (1..3_000_u64).prop_map(|ms| Operation::Advance { ms }),
    ]
}

/// What the test knows of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Queued,
    Running(InstanceName),
    Ended,
}

struct Model {
    worker: TestWorker,
    requests: HashMap<name::RequestId, State>,
    held: HashSet<InstanceName>,
    loading: Vec<InstanceName>,
    unloading: Vec<InstanceName>,
    now_ms: u64,
}

impl Model {
    fn new() -> Self {
        Self {
            worker: empty_worker(LIMITS),
            requests: HashMap::new(),
            held: HashSet::new(),
            loading: Vec::new(),
            unloading: Vec::new(),
            now_ms: 0,
        }
    }

    fn refused(&mut self, refused: Vec<worker::RefusedJob>) {
        for worker::RefusedJob { job, .. } in refused {
            let state = self.requests.insert(job.request_id, State::Ended);
            assert_eq!(state, Some(State::Queued), "a request was refused that did not wait");
        }
    }

    fn pick(&self, pick: usize, is_wanted: fn(&State) -> bool) -> Option<name::RequestId> {
        let matching = self.requests.iter().filter(|(_, state)| is_wanted(state));
        let mut ids: Vec<_> = matching.map(|(id, _)| id.clone()).collect();
        ids.sort();
        (!ids.is_empty()).then(|| ids[pick % ids.len()].clone())
    }

    fn apply(&mut self, operation: Operation) {
        match operation {
            Operation::Submit { adapter, team, class, cost_tokens, timeout_ms } => {
                let id = format!("r{}", self.requests.len());
                let classes =
                    [request::Class::Urgent, request::Class::Normal, request::Class::Bulk];
                let job = worker::Job {
                    team: name::TeamName::from(format!("team-{team}")),
                    class: classes[usize::from(class)],
                    cost_tokens,
                    deadline_ms: self.now_ms + timeout_ms,
                    ..job(&id, &format!("a{adapter}"), self.now_ms)
                };
                let id = job.request_id.clone();
                match self.worker.submit(job, self.now_ms) {
                    Ok(displaced) => {
                        self.requests.insert(id, State::Queued);
                        self.refused(displaced.into_iter().collect());
                    }
                    Err(_) => {
                        self.requests.insert(id, State::Ended);
                    }
                }
            }
            Operation::Start => self.start(),
            Operation::Plan { max_loads } => self.plan(max_loads),
            Operation::EndLoad { pick, is_answered, is_effective } => {
                if self.loading.is_empty() {
                    return;
                }
                let instance = self.loading.swap_remove(pick % self.loading.len());
                if is_effective {
                    self.held.insert(instance.clone());
                }
                if is_answered && is_effective {
                    self.worker.load_succeeded(&instance, self.now_ms);
                    return;
                }
                let failure = if is_answered {
                    worker::LoadFailure::Refused
                } else {
                    worker::LoadFailure::Unknown
                };
                let refused = self.worker.load_failed(&instance, failure, self.now_ms);
                self.refused(refused);
            }
            Operation::EndUnload { pick, is_answered, is_effective } => {
                if self.unloading.is_empty() {
                    return;
                }
                let instance = self.unloading.swap_remove(pick % self.unloading.len());
                if is_effective {
                    self.held.remove(&instance);
                }
                self.worker.unload_finished(&instance, is_answered && is_effective, self.now_ms);
            }
            Operation::Finish { pick } => {
                let is_running = |state: &State| matches!(state, State::Running(_));
                let Some(id) = self.pick(pick, is_running) else { return };
                self.worker.finish(&id, Some(10), self.now_ms);
                self.requests.insert(id, State::Ended);
            }
            Operation::Cancel { pick } => {
                let Some(id) = self.pick(pick, |state| *state == State::Queued) else { return };
                assert!(self.worker.cancel(&id));
                self.requests.insert(id, State::Ended);
            }
            Operation::Expire => {
                let refused = self.worker.expire(self.now_ms);
                self.refused(refused);
            }
            Operation::List => {
                let names: Vec<String> = self.held.iter().map(ToString::to_string).collect();
                let names: Vec<&str> = names.iter().map(String::as_str).collect();
                list(&mut self.worker, &names, self.now_ms);
            }
            Operation::Restart => self.held.clear(),
            Operation::SetAvailable { is_available } => {
                let refused = self.worker.set_available(is_available);
                self.refused(refused);
            }
            Operation::Advance { ms } => self.now_ms += ms,
        }
    }

    fn start(&mut self) {
        for start in self.worker.start_ready(self.now_ms) {
            let running = State::Running(start.instance.clone());
            let state = self.requests.insert(start.request_id.clone(), running);
            assert_eq!(state, Some(State::Queued), "a request started that did not wait");
            if self.held.contains(&start.instance) {
                continue;
            }
            // The engine restarted and answers 404.
            let refused = self.worker.instance_missing(&start.request_id, self.now_ms);
            self.requests.insert(start.request_id, State::Queued);
            self.refused(refused.into_iter().collect());
        }
    }

    fn plan(&mut self, max_loads: usize) {
        let plan = self.worker.plan(max_loads, self.now_ms);
        assert!(plan.loads.len() <= max_loads, "more loads than allowed");
        for order in plan.loads {
            self.loading.push(order.instance);
        }
        for order in plan.unloads {
            let user = State::Running(order.instance.clone());
            let is_used = self.requests.values().any(|state| *state == user);
            assert!(!is_used, "{} is unloaded under a request", order.instance);
            self.unloading.push(order.instance);
        }
    }

    fn check(&self) {
        let slots: HashSet<_> = self.worker.slots().iter().map(worker::Slot::instance).collect();
        assert_eq!(slots.len(), self.worker.slots().len(), "an instance has two slots");
        assert!(slots.len() <= LIMITS.slots, "more slots than the engine has");
        let in_engine: HashSet<_> = self.held.iter().chain(&self.loading).collect();
        assert!(in_engine.len() <= LIMITS.slots, "more instances ordered than the engine holds");
        let running = self.requests.values().filter(|state| matches!(state, State::Running(_)));
        assert!(running.count() <= LIMITS.batch_places, "more requests than batch places");
        let waiting = self.requests.values().filter(|state| **state == State::Queued).count();
        assert_eq!(waiting, self.worker.queue_length(), "a request was lost or counted twice");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Guards against the unload of a pinned instance, requests that are both started and refused or
    /// lost, and orders beyond the engine's slots.
    #[test]
    fn invariants_hold_for_any_sequence(
        operations in prop::collection::vec(operation(), 1..200)
    ) {
        let mut model = Model::new();
        for operation in operations {
            model.apply(operation);
            model.check();
        }
    }
}
