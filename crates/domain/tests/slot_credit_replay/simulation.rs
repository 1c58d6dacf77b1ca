//! Discrete simulation of daemons and workers; the workers reject calls beyond their slots and queues.

use std::collections::BTreeMap;

use jasminetack_domain::dispatch::{AdapterState, Candidate, ChoiceRequest, Chooser, RequestSize};
use jasminetack_domain::slot_credit::{BrokerDirectory, CallEnd, RegionSearch, SlotBroker};
use jasminetack_domain::{locality, name, upstream};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub const DAEMONS: usize = 70;
pub const WORKERS: usize = 6;
pub const SLOTS: u32 = 6;
/// Calls that a worker queues beyond its slots before it rejects.
pub const WORKER_QUEUE: usize = 1;
/// Requests for a credit that one call may make, over all attempts.
pub const MAX_ASKS: u64 = 64;
pub const RUN_MS: u64 = 20_000;
/// Calls of one burst.
pub const BURST: usize = 18;
pub const REPORT_INTERVAL_MS: u64 = 1_000;
/// One-way delays within a region and between two.
pub const LINK_MS: u64 = 1;
pub const REMOTE_LINK_MS: u64 = 20;
/// Failure domains with one worker each, which alternate between two regions.
pub const REGIONS: usize = 2;
pub const BROKER_TIMEOUT_MS: [u64; REGIONS] = [25, 150];
/// Longest wait for a slot: 0.7 of a target of 250 ms.
pub const MAX_WAIT_MS: u64 = 175;
pub const DATAGRAM_LOSS: f64 = 0.005;
/// Time between two expiries at a broker.
pub const BROKER_TICK_MS: u64 = 100;

#[derive(Clone, Copy, Debug)]
pub enum Event {
    Burst,
    /// A daemon has to find a worker.
    Start {
        call: usize,
    },
    /// The request for a credit reaches its broker.
    Ask {
        call: usize,
        ask: u64,
        broker: usize,
    },
    /// The answer reaches the daemon.
    Answer {
        call: usize,
        ask: u64,
        decision: Reply,
        broker: usize,
    },
    /// The daemon stops waiting for a broker; `is_silent` states that it has heard nothing of it.
    Timeout {
        call: usize,
        ask: u64,
        broker: usize,
        is_silent: bool,
    },
    /// The call reaches the worker.
    Arrive {
        call: usize,
        worker: usize,
    },
    /// The worker has executed the call.
    Executed {
        call: usize,
        worker: usize,
    },
    /// The daemon gets the worker's response.
    End {
        call: usize,
        worker: usize,
        is_full: bool,
    },
    /// The return of a credit reaches its broker.
    Return {
        call: usize,
        ask: u64,
        broker: usize,
        end: CallEnd,
    },
    Report {
        daemon: usize,
    },
    Tick {
        broker: usize,
    },
    Kill {
        broker: usize,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    Granted(usize),
    Queued,
    NoSlot,
}

#[derive(Clone, Debug)]
pub struct Call {
    pub daemon: usize,
    pub took_ms: u64,
    pub sent_ms: u64,
    pub excluded: Vec<name::WorkerName>,
    /// Number of the request for a credit that is not decided.
    pub open_ask: Option<u64>,
    pub is_queued: bool,
    pub asks: u64,
    pub regions_asked: usize,
    pub search: RegionSearch,
    /// Broker and number of the credit.
    pub credit: Option<(usize, u64)>,
    pub rejections: u32,
    pub is_refused: bool,
    pub has_ended: bool,
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub calls: usize,
    pub rejected: usize,
    pub refused: usize,
    pub lost: usize,
}

/// Discrete simulation of daemons, brokers and workers.
pub struct Replay {
    pub random: StdRng,
    /// Source of the load, which is the same with and without credits.
    pub load: StdRng,
    pub events: BTreeMap<(u64, u64), Event>,
    pub sequence: u64,
    pub upstreams: Vec<upstream::Upstream>,
    pub hosts: Vec<name::HostName>,
    pub choosers: Vec<Chooser>,
    /// Calls that run or wait at each worker, in order of arrival.
    pub workers: Vec<Vec<usize>>,
    pub brokers: Vec<Option<SlotBroker>>,
    /// Daemons that no longer work as brokers; the others learn it from their silence only.
    pub is_killed: Vec<bool>,
    pub directories: Vec<BrokerDirectory>,
    pub calls: Vec<Call>,
    pub has_credits: bool,
    pub burst_interval_ms: f64,
}

impl Replay {
    pub fn new(has_credits: bool, burst_interval_ms: f64, seed: u64) -> Self {
        let upstreams = (0..WORKERS).map(|index| upstream::Upstream {
            name: name::WorkerName::from(format!("w{index}")),
            service: name::ServiceName::from("app"),
            address: ([127, 0, 0, 1], 80).into(),
            locality: place(index),
            slots: SLOTS,
            is_draining: false,
            started_unix_ms: 1,
            base_models: Vec::new(),
            adapters: Vec::new(),
        });
        let mut replay = Self {
            random: StdRng::seed_from_u64(seed),
            load: StdRng::seed_from_u64(seed),
            events: BTreeMap::new(),
            sequence: 0,
            upstreams: upstreams.collect(),
            hosts: (0..DAEMONS).map(|index| name::HostName::from(format!("d{index}"))).collect(),
            choosers: vec![Chooser::default(); DAEMONS],
            workers: vec![Vec::new(); WORKERS],
            brokers: vec![None; DAEMONS],
            is_killed: vec![false; DAEMONS],
            directories: vec![BrokerDirectory::default(); DAEMONS],
            calls: Vec::new(),
            has_credits,
            burst_interval_ms,
        };
        replay.add(0, Event::Burst);
        for daemon in 0..DAEMONS {
            let first_ms = replay.random.random_range(0..REPORT_INTERVAL_MS);
            replay.add(first_ms, Event::Report { daemon });
        }
        replay
    }

    pub fn add(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at_ms, self.sequence), event);
    }

    /// Schedules an event that a datagram causes, unless the datagram is lost.
    pub fn send(&mut self, from: usize, to: usize, now_ms: u64, event: Event) {
        if from == to {
            self.add(now_ms, event);
        } else if !self.random.random_bool(DATAGRAM_LOSS) {
            self.add(now_ms + delay_ms(from, to), event);
        }
    }

    pub fn run(mut self) -> Outcome {
        while let Some(((now_ms, _), event)) = self.events.pop_first() {
            if now_ms > RUN_MS + 5_000 {
                break;
            }
            self.handle(event, now_ms);
        }
        let mut outcome = Outcome { calls: self.calls.len(), ..Outcome::default() };
        for call in &self.calls {
            outcome.rejected += usize::from(call.rejections > 0);
            outcome.refused += usize::from(call.is_refused);
            outcome.lost += usize::from(!call.has_ended);
        }
        outcome
    }

    pub fn handle(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::Burst => self.burst(now_ms),
            Event::Start { call } if self.has_credits => self.ask(call, now_ms),
            Event::Start { call } => self.choose_alone(call, now_ms),
            Event::Ask { call, ask, broker } => self.handle_ask(call, ask, broker, now_ms),
            Event::Answer { call, ask, decision, broker } => {
                self.handle_answer(call, ask, decision, broker, now_ms);
            }
            Event::Timeout { call, ask, broker, is_silent } => {
                let state = &mut self.calls[call];
                if state.open_ask != Some(ask) || is_silent && state.is_queued {
                    return;
                }
                state.open_ask = None;
                let daemon = state.daemon;
                let end = CallEnd::Unused;
                self.send(daemon, broker, now_ms, Event::Return { call, ask, broker, end });
                if is_silent {
                    let host = self.hosts[broker].clone();
                    self.directories[daemon].record_unanswered(&host, now_ms);
                    self.choose_alone(call, now_ms);
                } else {
                    self.ask(call, now_ms);
                }
            }
            Event::Arrive { call, worker } => self.arrive(call, worker, now_ms),
            Event::Executed { call, worker } => {
                let position = self.workers[worker].iter().position(|other| *other == call);
                self.workers[worker].remove(position.expect("a running call"));
                let waiting = self.workers[worker].get(SLOTS as usize - 1).copied();
                if let Some(next) = waiting {
                    let took_ms = self.calls[next].took_ms;
                    self.add(now_ms + took_ms, Event::Executed { call: next, worker });
                }
                let delay_ms = delay_ms(self.calls[call].daemon, worker);
                self.add(now_ms + delay_ms, Event::End { call, worker, is_full: false });
            }
            Event::End { call, worker, is_full } => self.end(call, worker, is_full, now_ms),
            Event::Return { call, ask, broker, end } => {
                let key = self.key(call, ask);
                let Some(state) = &mut self.brokers[broker] else { return };
                let answers = state.finish(&key, end, now_ms);
                self.send_answers(broker, answers, now_ms);
            }
            Event::Report { daemon } => {
                let loads = self.choosers[daemon].loads.report();
                let host = self.hosts[daemon].clone();
                for (other, chooser) in self.choosers.iter_mut().enumerate() {
                    if other != daemon {
                        chooser.loads.apply_report(&host, loads.clone(), now_ms + 3_500, now_ms);
                    }
                }
                if now_ms < RUN_MS {
                    self.add(now_ms + REPORT_INTERVAL_MS, Event::Report { daemon });
                }
            }
            Event::Tick { broker } => {
                let Some(state) = &mut self.brokers[broker] else { return };
                let answers = state.expire(now_ms);
                self.send_answers(broker, answers, now_ms);
                self.add(now_ms + BROKER_TICK_MS, Event::Tick { broker });
            }
            Event::Kill { broker } => {
                self.brokers[broker] = None;
                self.is_killed[broker] = true;
            }
        }
    }

    pub fn burst(&mut self, now_ms: u64) {
        for _ in 0..BURST {
            let call = self.calls.len();
            self.calls.push(Call {
                daemon: self.load.random_range(0..DAEMONS),
                took_ms: [30, 60][self.load.random_range(0..2)],
                sent_ms: 0,
                excluded: Vec::new(),
                open_ask: None,
                is_queued: false,
                asks: 0,
                regions_asked: 0,
                search: RegionSearch::default(),
                credit: None,
                rejections: 0,
                is_refused: false,
                has_ended: false,
            });
            self.add(now_ms, Event::Start { call });
        }
        let gap_ms = -self.burst_interval_ms * (1.0 - self.load.random::<f64>()).ln();
        if now_ms < RUN_MS {
            self.add(now_ms + gap_ms as u64 + 1, Event::Burst);
        }
    }

    pub fn choose_alone(&mut self, call: usize, now_ms: u64) {
        let daemon = self.calls[call].daemon;
        let candidates: Vec<_> = self
            .upstreams
            .iter()
            .map(|upstream| Candidate { upstream, adapter: AdapterState::Resident })
            .collect();
        let choice = ChoiceRequest {
            host: &self.hosts[daemon],
            from: &place(daemon),
            adapter: None,
            parts: &[],
            size: RequestSize::default(),
            memory_capacity_tokens: None,
            loading_worker: None,
            excluded: &self.calls[call].excluded,
            permit: None,
            max_permit_wait_ms: 0,
            only_limited: false,
        };
        let choice = self.choosers[daemon].choose(&choice, &candidates, now_ms);
        let Some(choice) = choice else { return };
        let worker = self.upstreams.iter().position(|known| known.name == choice.decision.worker);
        self.call_worker(call, worker.expect("a known worker"), now_ms);
    }

    pub fn call_worker(&mut self, call: usize, worker: usize, now_ms: u64) {
        let daemon = self.calls[call].daemon;
        let name = &self.upstreams[worker].name;
        let size = RequestSize::default();
        self.choosers[daemon].loads.record_sent(name, None, size, now_ms);
        self.calls[call].sent_ms = now_ms;
        self.add(now_ms + delay_ms(daemon, worker), Event::Arrive { call, worker });
    }

    pub fn arrive(&mut self, call: usize, worker: usize, now_ms: u64) {
        let present = self.workers[worker].len();
        if present >= SLOTS as usize + WORKER_QUEUE {
            let delay_ms = delay_ms(self.calls[call].daemon, worker);
            self.add(now_ms + delay_ms, Event::End { call, worker, is_full: true });
            return;
        }
        self.workers[worker].push(call);
        if present < SLOTS as usize {
            let took_ms = self.calls[call].took_ms;
            self.add(now_ms + took_ms, Event::Executed { call, worker });
        }
    }

    pub fn end(&mut self, call: usize, worker: usize, is_full: bool, now_ms: u64) {
        let (daemon, name) = (self.calls[call].daemon, self.upstreams[worker].name.clone());
        let chooser = &mut self.choosers[daemon];
        chooser.loads.record_first_part(&name, RequestSize::default(), now_ms);
        chooser.loads.record_end(&name, None, RequestSize::default());
        let took_ms = now_ms - self.calls[call].sent_ms;
        let end = if is_full { CallEnd::Full } else { CallEnd::Done { took_ms } };
        if let Some((broker, ask)) = self.calls[call].credit.take() {
            self.send(daemon, broker, now_ms, Event::Return { call, ask, broker, end });
        }
        if !is_full {
            self.calls[call].has_ended = true;
            return;
        }
        let call_state = &mut self.calls[call];
        call_state.excluded.push(name);
        call_state.rejections += 1;
        (call_state.regions_asked, call_state.search) = (0, RegionSearch::default());
        self.add(now_ms, Event::Start { call });
    }
}

/// Returns the failure domain and region of a daemon or worker.
fn place(index: usize) -> locality::Locality {
    let (region, domain) = (index % REGIONS, index % WORKERS);
    locality::Locality::new(format!("r{region}").into(), format!("z{domain}").into())
}

fn delay_ms(from: usize, to: usize) -> u64 {
    if from % REGIONS == to % REGIONS { LINK_MS } else { REMOTE_LINK_MS }
}
