//! Daemons that ask for credits, and their brokers.

use jasminetack_domain::name;
use jasminetack_domain::slot_credit::{
    Answer, CallEnd, Conclusion, CreditRequest, Decision, RequestKey, SlotBroker, WorkerCapacity,
};

use super::simulation::{
    BROKER_TICK_MS, BROKER_TIMEOUT_MS, Call, DAEMONS, Event, MAX_ASKS, MAX_WAIT_MS, REGIONS,
    Replay, Reply,
};

impl Replay {
    pub fn key(&self, call: usize, ask: u64) -> RequestKey {
        let host = name::HostName::from(format!("d{}", self.calls[call].daemon));
        RequestKey { host, started_unix_ms: 1, number: call as u64 * MAX_ASKS + ask }
    }

    pub fn broker_of(&self, daemon: usize, region: usize, now_ms: u64) -> Option<usize> {
        let hosts = (0..DAEMONS).filter(|other| other % REGIONS == region);
        let hosts = hosts.map(|other| &self.hosts[other]);
        let host = self.directories[daemon].choose(&format!("app/r{region}"), hosts, now_ms)?;
        self.hosts.iter().position(|other| other == host)
    }

    /// Asks the broker of the next region, or concludes after all regions.
    pub fn ask(&mut self, call: usize, now_ms: u64) {
        let Call { daemon, regions_asked, search, .. } = self.calls[call];
        if regions_asked == REGIONS {
            match search.conclude() {
                Conclusion::ChooseAlone => self.choose_alone(call, now_ms),
                Conclusion::Refuse { .. } => {
                    self.calls[call].is_refused = true;
                    self.calls[call].has_ended = true;
                }
            }
            return;
        }
        let state = &mut self.calls[call];
        state.regions_asked += 1;
        state.asks += 1;
        let ask = state.asks;
        let region = (daemon + regions_asked) % REGIONS;
        let Some(broker) = self.broker_of(daemon, region, now_ms) else {
            return self.choose_alone(call, now_ms);
        };
        (self.calls[call].open_ask, self.calls[call].is_queued) = (Some(ask), false);
        self.send(daemon, broker, now_ms, Event::Ask { call, ask, broker });
        let timeout_ms = now_ms + BROKER_TIMEOUT_MS[regions_asked];
        self.add(timeout_ms, Event::Timeout { call, ask, broker, is_silent: true });
        let timeout_ms = timeout_ms + MAX_WAIT_MS;
        self.add(timeout_ms, Event::Timeout { call, ask, broker, is_silent: false });
    }

    pub fn handle_ask(&mut self, call: usize, ask: u64, broker: usize, now_ms: u64) {
        if self.is_killed[broker] {
            return;
        }
        if self.brokers[broker].is_none() {
            let mut state = SlotBroker::default();
            let workers = self.upstreams.iter().enumerate();
            let workers = workers.filter(|(index, _)| index % REGIONS == broker % REGIONS);
            let workers = workers.map(|(_, upstream)| WorkerCapacity {
                worker: &upstream.name,
                slots: upstream.slots,
                started_unix_ms: 1,
            });
            state.set_workers(workers, now_ms);
            self.brokers[broker] = Some(state);
            self.add(now_ms + BROKER_TICK_MS, Event::Tick { broker });
        }
        let is_first_region = self.calls[call].regions_asked == 1;
        let request = CreditRequest {
            key: self.key(call, ask),
            team: None,
            urgency: 0,
            caller_hash: call as u64,
            wait_until_ms: if is_first_region { now_ms + MAX_WAIT_MS } else { now_ms },
            excluded: self.calls[call].excluded.clone(),
        };
        let Some(state) = &mut self.brokers[broker] else { return };
        let answers = state.request(request, now_ms);
        self.send_answers(broker, answers, now_ms);
    }

    pub fn send_answers(&mut self, broker: usize, answers: Vec<Answer>, now_ms: u64) {
        for answer in answers {
            let (call, ask) = (answer.key.number / MAX_ASKS, answer.key.number % MAX_ASKS);
            let call = call as usize;
            let decision = match answer.decision {
                Decision::Granted(worker) => {
                    let known = self.upstreams.iter().position(|upstream| upstream.name == worker);
                    Reply::Granted(known.expect("a known worker"))
                }
                Decision::Queued { .. } => Reply::Queued,
                Decision::NoSlot { .. } => Reply::NoSlot,
            };
            let daemon = self.calls[call].daemon;
            self.send(broker, daemon, now_ms, Event::Answer { call, ask, decision, broker });
        }
    }

    pub fn handle_answer(
        &mut self,
        call: usize,
        ask: u64,
        decision: Reply,
        broker: usize,
        now_ms: u64,
    ) {
        let daemon = self.calls[call].daemon;
        let host = self.hosts[broker].clone();
        self.directories[daemon].record_answer(&host);
        if self.calls[call].open_ask != Some(ask) {
            if let Reply::Granted(_) = decision {
                let end = CallEnd::Unused;
                self.send(daemon, broker, now_ms, Event::Return { call, ask, broker, end });
            }
            return;
        }
        match decision {
            Reply::Granted(worker) => {
                self.calls[call].open_ask = None;
                self.calls[call].credit = Some((broker, ask));
                self.call_worker(call, worker, now_ms);
            }
            Reply::Queued => self.calls[call].is_queued = true,
            Reply::NoSlot => {
                self.calls[call].open_ask = None;
                self.calls[call].search.record_no_slot(Some(1));
                self.ask(call, now_ms);
            }
        }
    }
}
