//! Driver for the quotas of a fleet: clocks, messages and callers without a network.

use std::collections::{BTreeMap, VecDeque};

use jasminetack_domain::name;
use jasminetack_domain::team_quota::{
    Admission, ClockBounds, Message, QuotaBounds, TeamLimit, TeamQuotas,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const STEP_MS: u64 = 5;
pub const WINDOW_MS: u64 = 8_000;
/// Bounds of the smaller of the two deployments.
pub const BOUNDS: QuotaBounds =
    QuotaBounds { window_ms: WINDOW_MS, overage: 0.1, slack_tokens: 72_000.0 };
/// Time for which a request waits for tokens.
const HOLD_MS: u64 = 100;
/// Interval at which a waiting request asks again.
const REPEAT_MS: u64 = 25;
/// Interval of the control thread.
const TICK_MS: u64 = 100;
/// Time without a datagram after which a daemon counts as failed.
const FAILURE_MS: u64 = 3_500;
/// Time after which the lease of a killed daemon has expired.
const LEASE_MS: u64 = 12_000;
/// Local time at which the simulation starts; each daemon's clock has an offset from it.
const START_MS: u64 = 100_000;

/// Faults of the links between daemons.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    pub loss: f64,
    pub duplication: f64,
    /// Part of the messages that are late, and by how much at most.
    pub late: (f64, u64),
}

pub const CALM: Links = Links { loss: 0.0, duplication: 0.0, late: (0.0, 0) };

pub struct Daemon {
    host: name::HostName,
    pub quotas: TeamQuotas,
    pub is_running: bool,
    frozen_until_ms: u64,
    killed_ms: u64,
    started: u64,
    sequence: u64,
    /// Offset of the local clock, and error of the bounds of the store's clock.
    offset_ms: u64,
    clock_error_ms: i64,
    /// Requests that wait: team, cost and end of the wait.
    waiting: VecDeque<(usize, u64, u64)>,
    inbox: BTreeMap<(u64, u64), (usize, u64, u64, Message)>,
}

pub struct Fleet {
    pub daemons: Vec<Daemon>,
    pub teams: Vec<(name::TeamName, TeamLimit)>,
    pub links: Links,
    pub now_ms: u64,
    pub rng: Pcg64Mcg,
    /// Tokens admitted, by team, with the time.
    pub admitted: Vec<Vec<(u64, u64)>>,
    pub refused: Vec<u64>,
    pub messages: u64,
    next_message: u64,
}

impl Fleet {
    pub fn new(daemons: usize, rates: &[f64], seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let team = |(index, rate): (usize, &f64)| {
            let name = name::TeamName::from(format!("hule{index}"));
            (name, TeamLimit::new(*rate, *rate, BOUNDS))
        };
        let teams: Vec<_> = rates.iter().enumerate().map(team).collect();
        let daemons: Vec<_> = (0..daemons)
            .map(|index| Daemon::new(index, rng.random_range(0..1_000_000), &mut rng))
            .collect();
        let mut fleet = Self {
            admitted: vec![Vec::new(); teams.len()],
            refused: vec![0; teams.len()],
            daemons,
            teams,
            links: CALM,
            now_ms: START_MS,
            rng,
            messages: 0,
            next_message: 0,
        };
        for index in 0..fleet.daemons.len() {
            fleet.start(index);
        }
        fleet
    }

    /// Returns the number of daemons whose lease has not expired.
    fn owners(&self) -> usize {
        let counts =
            |daemon: &&Daemon| daemon.is_running || daemon.killed_ms + LEASE_MS > self.now_ms;
        self.daemons.iter().filter(counts).count()
    }

    fn live(&self) -> Vec<name::HostName> {
        let is_live =
            |daemon: &&Daemon| daemon.is_running || daemon.killed_ms + FAILURE_MS > self.now_ms;
        self.daemons.iter().filter(is_live).map(|daemon| daemon.host.clone()).collect()
    }

    /// Starts a process that knows nothing of its predecessor.
    pub fn start(&mut self, index: usize) {
        let teams = self.teams.clone();
        let daemon = &mut self.daemons[index];
        daemon.is_running = true;
        daemon.started += 1_000;
        daemon.sequence = 0;
        daemon.waiting.clear();
        daemon.quotas = TeamQuotas::new(daemon.host.clone(), daemon.started);
        let now_ms = self.now_ms + daemon.offset_ms;
        daemon.quotas.set_clock(Some(daemon.clock()));
        daemon.quotas.set_limits(teams, now_ms);
        let (live, owners) = (self.live(), self.owners());
        self.daemons[index].quotas.set_daemons(live, Some(owners), now_ms);
    }

    pub fn kill(&mut self, index: usize) {
        self.daemons[index].is_running = false;
        self.daemons[index].killed_ms = self.now_ms;
    }

    /// Stops a daemon for a time; messages to it wait.
    pub fn freeze(&mut self, index: usize, duration_ms: u64) {
        self.daemons[index].frozen_until_ms = self.now_ms + duration_ms;
    }

    /// Changes the rate and burst of a team at all daemons.
    pub fn set_rate(&mut self, team: usize, rate: f64) {
        self.teams[team].1 = TeamLimit::new(rate, rate, BOUNDS);
        for daemon in &mut self.daemons {
            daemon.quotas.set_limits(self.teams.clone(), self.now_ms + daemon.offset_ms);
        }
    }

    /// Sends a request of a caller to a daemon.
    pub fn request(&mut self, index: usize, team: usize, cost: u64) {
        let daemon = &mut self.daemons[index];
        if !daemon.is_running || daemon.frozen_until_ms > self.now_ms {
            return;
        }
        let local_ms = self.now_ms + daemon.offset_ms;
        match daemon.quotas.charge(&self.teams[team].0, cost, false, local_ms) {
            Some(Admission::Admitted) => self.admitted[team].push((self.now_ms, cost)),
            Some(Admission::AwaitTokens) => {
                daemon.waiting.push_back((team, cost, self.now_ms + HOLD_MS));
                self.poll(index);
                self.retry(index);
            }
            _ => self.refused[team] += cost,
        }
    }

    /// Advances the time by one step.
    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        for index in 0..self.daemons.len() {
            let daemon = &self.daemons[index];
            if !daemon.is_running || daemon.frozen_until_ms > self.now_ms {
                continue;
            }
            self.deliver(index);
            let phase = index as u64 * STEP_MS;
            if (self.now_ms + phase).is_multiple_of(TICK_MS) {
                let (live, owners) = (self.live(), self.owners());
                let local_ms = self.now_ms + self.daemons[index].offset_ms;
                self.daemons[index].quotas.set_daemons(live, Some(owners), local_ms);
                self.poll(index);
            }
            // Waiting requests ask again.
            if !self.daemons[index].waiting.is_empty() && self.now_ms.is_multiple_of(REPEAT_MS) {
                self.poll(index);
            }
            self.retry(index);
        }
    }

    fn deliver(&mut self, index: usize) {
        let now_ms = self.now_ms;
        while let Some((key, _)) = self.daemons[index].inbox.first_key_value()
            && key.0 <= now_ms
        {
            let key = *key;
            let daemon = &mut self.daemons[index];
            let Some((from, started, sequence, message)) = daemon.inbox.remove(&key) else { break };
            let local_ms = now_ms + daemon.offset_ms;
            let sender = name::HostName::from(host(from));
            let response = daemon.quotas.receive(&sender, started, sequence, &message, local_ms);
            if response != Message::default() {
                self.send(index, from, response);
            }
        }
    }

    fn poll(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        let outbox = daemon.quotas.due_messages(self.now_ms + daemon.offset_ms);
        for (to, message) in outbox {
            let to = to.as_str().trim_start_matches("edge-").parse().expect("an index");
            self.send(index, to, message);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.messages += 1;
        let sender = &mut self.daemons[from];
        sender.sequence += 1;
        let (started, sequence) = (sender.started, sender.sequence);
        if self.rng.random_bool(self.links.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.links.duplication));
        for _ in 0..copies {
            let mut delay_ms = if from % 3 == to % 3 { 1 } else { 20 };
            if self.rng.random_bool(self.links.late.0) {
                delay_ms += self.rng.random_range(0..=self.links.late.1);
            }
            self.next_message += 1;
            let key = (self.now_ms + delay_ms, self.next_message);
            let content = (from, started, sequence, message.clone());
            self.daemons[to].inbox.insert(key, content);
        }
    }

    /// Charges the waiting requests again and refuses those that have waited long enough.
    fn retry(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        let local_ms = self.now_ms + daemon.offset_ms;
        for _ in 0..daemon.waiting.len() {
            let Some((team, cost, until_ms)) = daemon.waiting.pop_front() else { break };
            let charged = daemon.quotas.charge(&self.teams[team].0, cost, true, local_ms);
            if charged == Some(Admission::Admitted) {
                self.admitted[team].push((self.now_ms, cost));
            } else if until_ms <= self.now_ms || charged != Some(Admission::AwaitTokens) {
                self.refused[team] += cost;
            } else {
                daemon.waiting.push_back((team, cost, until_ms));
            }
        }
    }

    /// Returns the tokens that a team was admitted from a time on.
    pub fn admitted_since(&self, team: usize, from_ms: u64) -> f64 {
        let since = self.admitted[team].iter().filter(|(at_ms, _)| *at_ms >= from_ms);
        since.map(|(_, cost)| *cost as f64).sum()
    }

    /// Returns the most tokens that a team was admitted in one window.
    pub fn busiest_window(&self, team: usize) -> f64 {
        let admitted = &self.admitted[team];
        let (mut first, mut sum, mut busiest) = (0, 0, 0);
        for (at_ms, cost) in admitted {
            sum += cost;
            while admitted[first].0 + WINDOW_MS < *at_ms {
                sum -= admitted[first].1;
                first += 1;
            }
            busiest = busiest.max(sum);
        }
        busiest as f64
    }

    /// Returns the busiest window as a part of what the rule allows.
    pub fn use_of_bound(&self, team: usize, rate: f64) -> f64 {
        self.busiest_window(team) / BOUNDS.max_tokens(rate, rate)
    }
}

impl Daemon {
    fn new(index: usize, offset_ms: u64, rng: &mut Pcg64Mcg) -> Self {
        let host = name::HostName::from(host(index));
        Self {
            quotas: TeamQuotas::new(host.clone(), 0),
            host,
            is_running: false,
            frozen_until_ms: 0,
            killed_ms: 0,
            started: 0,
            sequence: 0,
            offset_ms,
            clock_error_ms: rng.random_range(0..60),
            waiting: VecDeque::new(),
            inbox: BTreeMap::new(),
        }
    }

    /// Bounds of the store's clock, which is the simulated time plus a constant.
    fn clock(&self) -> ClockBounds {
        let ahead_ms = 7_000_000 - self.offset_ms as i64;
        ClockBounds {
            min_ahead_ms: ahead_ms - self.clock_error_ms,
            max_ahead_ms: ahead_ms + 60 - self.clock_error_ms,
        }
    }
}

fn host(index: usize) -> String {
    format!("edge-{index}")
}
