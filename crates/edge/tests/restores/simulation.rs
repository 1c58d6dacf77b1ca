//! Daemons on simulated time, whose calls to the store are delayed, lost and executed late.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;

use jasminetack_edge::{control, store};
use jasminetack_wire::fleet::Datagram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::oneshot;

use crate::judge::Judge;
use crate::store::Store;
use crate::support::{CONFIGURATION_WITH_ENGINES, Daemon};

pub const TIMES: control::LeaseTimes =
    control::LeaseTimes { ttl_ms: 12_000, renewal_ms: 6_000, guard_ms: 3_000 };
const HOSTS: usize = 4;
pub const WORKERS: [&str; 3] = ["w1", "w2", "w3"];
const START_MS: u64 = 1_000_000;
const TICK_MS: u64 = 50;
const REPORT_INTERVAL_MS: u64 = 200;
const FAULT_INTERVAL_MS: u64 = 700;
const COPY_INTERVAL_MS: u64 = 400;
/// Timeout of a call to the store.
const CALL_TIMEOUT_MS: u64 = 1_200;

/// What happens at a time; hosts are numbers, processes of a host are counted.
enum Event {
    Tick {
        host: usize,
        process: u32,
    },
    Start {
        host: usize,
    },
    /// The store executes a job; `leases` is the first part of a read of the rows.
    Execute {
        call: Call,
        leases: Option<store::Listing>,
    },
    Receive {
        host: usize,
        process: u32,
        message: control::Message,
    },
    KeepCopy,
    Fault,
}

struct Call {
    host: usize,
    process: u32,
    job: control::StoreJob,
    sent_ms: u64,
    is_answered: bool,
}

#[derive(Default)]
struct Host {
    daemon: Option<Daemon>,
    process: u32,
    frozen_until_ms: u64,
    cut_until_ms: u64,
    jobs: VecDeque<control::StoreJob>,
    is_calling: bool,
}

pub struct Simulation {
    random: Pcg64Mcg,
    now_ms: u64,
    end_of_faults_ms: u64,
    sequence: u64,
    order: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    hosts: Vec<Host>,
    store: Store,
    /// Share of datagrams that arrive.
    datagrams: f64,
    pub judge: Judge,
    pub restores: usize,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let now_ms = START_MS;
        let datagrams = [0.0, 0.5, 1.0][random.random_range(0..3)];
        let mut simulation = Self {
            random,
            now_ms,
            end_of_faults_ms: now_ms + 90_000,
            sequence: 0,
            order: BinaryHeap::new(),
            events: BTreeMap::new(),
            hosts: (0..HOSTS).map(|_| Host::default()).collect(),
            store: Store::new(1),
            datagrams,
            judge: Judge::new(TIMES.guard_ms),
            restores: 0,
        };
        for host in 0..HOSTS {
            simulation.schedule(host as u64 * 300, Event::Start { host });
        }
        simulation.schedule(0, Event::KeepCopy);
        simulation.schedule(2_000, Event::Fault);
        simulation
    }

    /// Runs the time with faults and a calm time after it; returns what was wrong.
    pub fn run(mut self) -> (Vec<String>, usize, usize) {
        let end_ms = self.end_of_faults_ms + 60_000;
        while let Some(Reverse((at_ms, sequence))) = self.order.pop() {
            if at_ms > end_ms {
                break;
            }
            self.now_ms = at_ms;
            if let Some(event) = self.events.remove(&sequence) {
                self.handle(event);
            }
        }
        for worker in WORKERS {
            if self.judge.last_call_ms(worker).is_none_or(|at_ms| at_ms + 2_000 < end_ms) {
                self.judge.problems.push(format!("{worker} has no holder after the faults"));
            }
        }
        (self.judge.problems, self.judge.calls, self.restores)
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        self.order.push(Reverse((self.now_ms + delay_ms, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start { host } => self.start(host),
            Event::Tick { host, process } => {
                if self.hosts[host].process != process {
                    return;
                }
                if let Some(left_ms) = self.frozen_ms(host) {
                    return self.schedule(left_ms, Event::Tick { host, process });
                }
                let now_ms = self.now_ms;
                if let Some(daemon) = &mut self.hosts[host].daemon {
                    daemon.state.tick(now_ms);
                    if now_ms % REPORT_INTERVAL_MS < TICK_MS {
                        daemon.state.report(now_ms);
                    }
                }
                self.collect(host);
                self.schedule(TICK_MS, Event::Tick { host, process });
            }
            Event::Execute { call, leases } => self.execute(call, leases),
            Event::Receive { host, process, message } => self.receive(host, process, message),
            Event::KeepCopy => {
                self.store.keep_copy(self.now_ms);
                self.schedule(COPY_INTERVAL_MS, Event::KeepCopy);
            }
            Event::Fault => {
                if self.now_ms >= self.end_of_faults_ms {
                    return;
                }
                self.inject();
                let delay_ms = self.random.random_range(0..2 * FAULT_INTERVAL_MS);
                self.schedule(delay_ms, Event::Fault);
            }
        }
    }

    fn inject(&mut self) {
        let host = self.random.random_range(0..HOSTS);
        let duration_ms = self.random.random_range(500..16_000);
        match self.random.random_range(0..9) {
            0 | 1 => self.hosts[host].frozen_until_ms = self.now_ms + duration_ms,
            2 => self.hosts[host].cut_until_ms = self.now_ms + duration_ms,
            3 => self.start(host),
            4 => self.stop(host),
            5 if self.random.random_bool(0.15) => (0..HOSTS).for_each(|host| self.start(host)),
            6 if self.random.random_bool(0.6) => {
                let age_ms = self.random.random_range(200..12_000);
                let lag_ms = if self.random.random_bool(0.3) { age_ms } else { 0 };
                self.store.restore(age_ms, lag_ms, self.now_ms);
                self.restores += 1;
            }
            _ => {}
        }
    }

    /// Starts a process on a host in place of one that runs.
    fn start(&mut self, host: usize) {
        let mut daemon =
            Daemon::start(&format!("h{host}"), address(host), TIMES, self.now_ms, self.now_ms);
        let now_ms = self.now_ms;
        for table in [store::Table::Operator, store::Table::Workers] {
            let event = control::FeedEvent::Listed(self.table(table));
            let message = control::Message::TableRead(table, event, now_ms);
            daemon.state.receive(vec![message], now_ms);
        }
        let state = &mut self.hosts[host];
        state.process += 1;
        (state.daemon, state.is_calling) = (Some(daemon), false);
        state.frozen_until_ms = 0;
        state.jobs.clear();
        let process = state.process;
        self.schedule(0, Event::Tick { host, process });
    }

    /// Stops the process of a host, which releases its lease, and starts another one later.
    fn stop(&mut self, host: usize) {
        let delay_ms = self.random.random_range(1_000..5_000);
        let process = self.hosts[host].process;
        let release = control::Message::ReleaseLease(oneshot::channel().0);
        for message in [control::Message::Shutdown, release] {
            self.schedule(0, Event::Receive { host, process, message });
        }
        self.schedule(delay_ms, Event::Start { host });
    }

    fn frozen_ms(&self, host: usize) -> Option<u64> {
        self.hosts[host].frozen_until_ms.checked_sub(self.now_ms).filter(|left_ms| *left_ms > 0)
    }

    fn receive(&mut self, host: usize, process: u32, message: control::Message) {
        if self.hosts[host].process != process {
            return;
        }
        if let Some(left_ms) = self.frozen_ms(host) {
            return self.schedule(left_ms, Event::Receive { host, process, message });
        }
        let now_ms = self.now_ms;
        if matches!(message, control::Message::StoreReply(_)) {
            self.hosts[host].is_calling = false;
        }
        if let Some(daemon) = &mut self.hosts[host].daemon {
            daemon.state.receive(vec![message], now_ms);
        }
        self.collect(host);
    }

    /// Executes what a daemon has decided.
    fn collect(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let Some(daemon) = &mut self.hosts[host].daemon else { return };
        for job in daemon.take_worker_jobs() {
            let worker = job.upstream.name.to_string();
            self.judge.record(&worker, &format!("h{host}"), job.fencing_token, now_ms);
        }
        let (jobs, reads) = (daemon.take_store_jobs(), daemon.take_table_reads());
        let datagrams = daemon.take_datagrams();
        self.hosts[host].jobs.extend(jobs);
        for table in reads {
            self.read_table(host, table);
        }
        for outgoing in datagrams {
            for receiver in outgoing.receivers {
                self.send(host, receiver, outgoing.datagram.clone());
            }
        }
        self.call_store(host);
    }

    fn send(&mut self, host: usize, receiver: SocketAddr, datagram: Datagram) {
        let Some(to) = (0..HOSTS).find(|to| address(*to) == receiver) else { return };
        let is_cut = [host, to].iter().any(|host| self.hosts[*host].cut_until_ms > self.now_ms);
        if is_cut || !self.random.random_bool(self.datagrams) {
            return;
        }
        let message = control::Message::Datagram(Box::new(datagram));
        let delay_ms = self.random.random_range(1..30);
        let process = self.hosts[to].process;
        self.schedule(delay_ms, Event::Receive { host: to, process, message });
    }

    fn read_table(&mut self, host: usize, table: store::Table) {
        let is_cut = self.hosts[host].cut_until_ms > self.now_ms;
        let event = if is_cut {
            control::FeedEvent::Failed(store::StoreError::Refused { status: 503 })
        } else {
            control::FeedEvent::Listed(self.table(table))
        };
        let message = control::Message::TableRead(table, event, self.now_ms);
        let process = self.hosts[host].process;
        let delay_ms = self.random.random_range(1..40);
        self.schedule(delay_ms, Event::Receive { host, process, message });
    }

    /// Returns a table that the operator or the workers write, which a restore does not change.
    fn table(&self, table: store::Table) -> store::Listing {
        let row = |key: &str, value| {
            let version = self.store.version(1);
            store::Row { key: key.to_owned(), value: Some(value), version }
        };
        let rows = match table {
            store::Table::Operator => vec![row(CONFIGURATION_WITH_ENGINES, vec![1])],
            _ => WORKERS.iter().map(|worker| row(worker, Vec::new())).collect(),
        };
        let (version, store_ms) = (self.store.version(1), self.store.store_ms(self.now_ms));
        store::Listing { rows, version, store_ms }
    }

    /// Starts the next call of a host to the store; some calls get no response, and may be executed late.
    fn call_store(&mut self, host: usize) {
        if self.hosts[host].is_calling {
            return;
        }
        let Some(job) = self.hosts[host].jobs.pop_front() else { return };
        self.hosts[host].is_calling = true;
        let process = self.hosts[host].process;
        let is_cut = self.hosts[host].cut_until_ms > self.now_ms;
        let is_faulty = self.now_ms < self.end_of_faults_ms;
        let is_answered = !(is_cut || is_faulty && self.random.random_bool(0.08));
        let call = Call { host, process, job, sent_ms: self.now_ms, is_answered };
        if !is_answered {
            let reply = unanswered(&call.job, call.sent_ms);
            let message = control::Message::StoreReply(reply);
            self.schedule(CALL_TIMEOUT_MS, Event::Receive { host, process, message });
        }
        if is_cut || !is_answered && self.random.random_bool(0.4) {
            return;
        }
        let is_slow = self.random.random_bool(0.1);
        let delay_ms = match (is_answered, is_slow) {
            (true, true) => self.random.random_range(1..500),
            (false, true) => self.random.random_range(1..6_000),
            _ => self.random.random_range(1..25),
        };
        self.schedule(delay_ms, Event::Execute { call, leases: None });
    }

    fn execute(&mut self, call: Call, leases: Option<store::Listing>) {
        let now_ms = self.now_ms;
        let delay_ms = self.random.random_range(1..25);
        let is_read = matches!(call.job, control::StoreJob::ReadRows);
        if is_read && leases.is_none() {
            let leases = Some(self.store.list(store::Table::Leases, now_ms));
            return self.schedule(delay_ms, Event::Execute { call, leases });
        }
        let mut reply = self.store.execute(&call.job, call.sent_ms, now_ms);
        // The leases are read first, and something may happen before the holders are.
        if let (control::StoreReply::Rows { leases: read, .. }, Some(leases)) = (&mut reply, leases)
        {
            *read = Ok(leases);
        }
        if call.is_answered {
            let (host, process) = (call.host, call.process);
            let message = control::Message::StoreReply(reply);
            self.schedule(delay_ms, Event::Receive { host, process, message });
        }
    }
}

fn unanswered(job: &control::StoreJob, sent_ms: u64) -> control::StoreReply {
    let error = store::StoreError::Unanswered { message: "timeout".to_owned() };
    match job {
        control::StoreJob::ReadRows => {
            control::StoreReply::Rows { leases: Err(error.clone()), holders: Err(error), sent_ms }
        }
        control::StoreJob::Renew(_) => control::StoreReply::Renewed(Err(error), sent_ms),
        control::StoreJob::Claim { worker, era, .. } => {
            control::StoreReply::Claimed(worker.clone(), *era, Err(error))
        }
        control::StoreJob::Write(_) => control::StoreReply::Written(Err(error)),
        control::StoreJob::Quarantine(_) => {
            let reply = control::QuarantineReply::Rows(Err(error), sent_ms);
            control::StoreReply::Quarantine(reply)
        }
    }
}

fn address(host: usize) -> SocketAddr {
    let number = u8::try_from(host).expect("few hosts");
    ([127, 0, 1, number], 7_380).into()
}
