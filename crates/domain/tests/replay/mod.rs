//! Replay of a fleet whose workers crash, without a network.

use indexmap::{IndexMap, IndexSet};
use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use jasminetack_domain::quarantine;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

const TICK_MS: u64 = 10;
/// First segments, which a third of the requests share each.
const FIRST_SEGMENTS: u64 = 3;
/// Subjects, the second segments; small ones are frequent.
const SUBJECTS: u64 = 300;
/// Third segments from here on are those of conversations, which send a few requests within seconds.
const CONVERSATIONS: u64 = 1_000;
/// Third segments from here on are those of sessions.
const SESSIONS: u64 = 900_000;
/// Time between two requests of a session.
const SESSION_INTERVAL_MS: u64 = 4_000;
/// Segments from here on crash workers.
pub const DEADLY: u64 = 1_000_000;
/// Time from a crash until its daemons have noticed it.
const DETECTION_MS: u64 = 40;
/// Interval at which daemons exchange quarantines and clearances.
const EXCHANGE_MS: u64 = 1_000;
const UPDATE_MS: u64 = 100;
const RESTART_MS: u64 = 3_000;

/// What the fleet is, and what happens to it.
#[derive(Clone, Debug)]
pub struct Plan {
    pub workers: usize,
    /// Workers of one rack; racks are numbered consecutively.
    pub rack: usize,
    /// Workers of one failure domain.
    pub domain: usize,
    pub daemons: usize,
    pub requests_per_s: u64,
    pub length_ms: u64,
    /// Mean interval of crashes by other causes; 0 for none.
    pub crash_interval_ms: u64,
    /// Sessions, each of which sends a request with its own segment every few seconds.
    pub sessions: u64,
    /// Intervals of requests with segments that crash workers, from 5 s on.
    pub deadly_intervals_ms: Vec<u64>,
}

/// What came of a replay.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Sound requests, also those refused.
    pub sound: u64,
    /// Sound requests that were refused for a quarantined segment.
    pub refused: u64,
    /// Workers that crashed.
    pub crashes: u64,
    /// Times at which requests with each deadly segment reached workers, by segment.
    pub deadly_ms: IndexMap<u64, Vec<u64>>,
    /// Sound segments that were quarantined.
    pub wrong: IndexSet<u64>,
}

struct Running {
    daemon: usize,
    worker: usize,
    shared: Vec<u64>,
    starts_ms: u64,
    ends_ms: u64,
    is_recorded: bool,
    is_repeat: bool,
}

/// A request that has not been sent yet: its time, its segments and whether it is a repeat.
type Waiting = (u64, Vec<u64>, bool);

pub struct Replay {
    plan: Plan,
    random: Pcg64Mcg,
    daemons: Vec<quarantine::Quarantine>,
    up_from_ms: Vec<u64>,
    running: Vec<Running>,
    waiting: Vec<Waiting>,
    /// Crashes that the daemons have not noticed yet, by daemon.
    unnoticed: Vec<(u64, usize, quarantine::WorkerCrash)>,
    next_conversation: u64,
    next_crash_ms: u64,
    outcome: Outcome,
}

fn prompt(shared: &[u64]) -> Vec<dispatch::PromptSegment> {
    // The last segment is the request's own.
    let ids = shared.iter().copied().chain([u64::MAX]);
    ids.map(|id| dispatch::PromptSegment { id: id.into(), tokens: 100 }).collect()
}

impl Replay {
    pub fn new(plan: Plan, seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            daemons: vec![quarantine::Quarantine::default(); plan.daemons],
            up_from_ms: vec![0; plan.workers],
            running: Vec::new(),
            waiting: Vec::new(),
            unnoticed: Vec::new(),
            next_conversation: CONVERSATIONS,
            next_crash_ms: 4_000,
            outcome: Outcome::default(),
            plan,
        }
    }

    /// Runs the replay to its end.
    pub fn run(mut self) -> Outcome {
        // The clock of a machine does not start at zero.
        for now_ms in (3_000..3_000 + self.plan.length_ms).step_by(TICK_MS as usize) {
            self.finish_answers(now_ms);
            self.crash_workers(now_ms);
            self.notice_crashes(now_ms);
            if now_ms % UPDATE_MS == 0 {
                self.update_daemons(now_ms);
            }
            if now_ms % EXCHANGE_MS == 0 {
                self.exchange(now_ms);
            }
            self.create_requests(now_ms);
            self.send_requests(now_ms);
        }
        self.outcome
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.random.next_u64() % limit.max(1)
    }

    fn create_requests(&mut self, now_ms: u64) {
        let count = self.plan.requests_per_s * TICK_MS;
        let count = count / 1_000 + u64::from(self.below(1_000) < count % 1_000);
        for _ in 0..count {
            let first = 1 + self.below(FIRST_SEGMENTS);
            let subject = 100 + self.below(SUBJECTS).min(self.below(SUBJECTS));
            self.next_conversation += 1;
            let shared = vec![first, subject, self.next_conversation];
            for turn in 0..1 + self.below(3) {
                let delay_ms = turn * self.below(400);
                self.waiting.push((now_ms + delay_ms, shared.clone(), false));
            }
        }
        for session in 0..self.plan.sessions {
            // A session's requests go to one worker while it is up, as their subject does.
            if (now_ms + session * TICK_MS) % SESSION_INTERVAL_MS < TICK_MS {
                let shared = vec![1, 100 + session % SUBJECTS, SESSIONS + session];
                self.waiting.push((now_ms, shared, false));
            }
        }
        for index in 0..self.plan.deadly_intervals_ms.len() {
            let interval_ms = self.plan.deadly_intervals_ms[index];
            if now_ms > 5_000 && now_ms % interval_ms < TICK_MS {
                let shared = vec![1, 100, DEADLY + index as u64];
                self.waiting.push((now_ms, shared, false));
            }
        }
    }

    fn send_requests(&mut self, now_ms: u64) {
        let (due, later) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition::<Vec<_>, _>(|(at_ms, ..)| *at_ms <= now_ms);
        self.waiting = later;
        for (_, shared, is_repeat) in due {
            let daemon = self.below(self.plan.daemons as u64) as usize;
            let deadly = shared.iter().copied().find(|segment| *segment >= DEADLY);
            self.outcome.sound += u64::from(deadly.is_none());
            let is_refused = self.daemons[daemon]
                .active(now_ms)
                .any(|(segment, _)| shared.contains(&segment.into()));
            if is_refused {
                self.outcome.refused += u64::from(deadly.is_none());
                continue;
            }
            let Some(worker) = self.choose_worker(&shared, now_ms) else { continue };
            let starts_ms = now_ms + 60 + self.below(200);
            let ends_ms = starts_ms + 200 + self.below(1_500);
            let running = Running {
                daemon,
                worker,
                shared,
                starts_ms,
                ends_ms,
                is_recorded: false,
                is_repeat,
            };
            self.running.push(running);
            if let Some(segment) = deadly {
                self.outcome.deadly_ms.entry(segment).or_default().push(now_ms);
            }
        }
    }

    /// Half of the requests go to the worker that has their subject cached, if it is up.
    fn choose_worker(&mut self, shared: &[u64], now_ms: u64) -> Option<usize> {
        let preferred = shared[1] as usize * 7 % self.plan.workers;
        if self.up_from_ms[preferred] <= now_ms && self.below(2) == 0 {
            return Some(preferred);
        }
        let up: Vec<_> = (0..self.plan.workers).filter(|w| self.up_from_ms[*w] <= now_ms).collect();
        let chosen = self.below(up.len() as u64) as usize;
        up.get(chosen).copied()
    }

    fn finish_answers(&mut self, now_ms: u64) {
        for request in &mut self.running {
            let has_survived =
                now_ms >= request.ends_ms.min(request.starts_ms + quarantine::ONSET_MS);
            if !has_survived || request.is_recorded || request.shared.iter().any(|s| *s >= DEADLY) {
                continue;
            }
            request.is_recorded = true;
            let segments = prompt(&request.shared).into();
            let answer = quarantine::SurvivedAnswer { segments, started_ms: request.starts_ms };
            self.daemons[request.daemon].record_answer(&answer, now_ms);
        }
        self.running.retain(|request| now_ms < request.ends_ms);
    }

    fn crash_workers(&mut self, now_ms: u64) {
        let is_due = |request: &&Running| {
            now_ms >= request.starts_ms && request.shared.iter().any(|s| *s >= DEADLY)
        };
        let deadly: Vec<_> = self.running.iter().filter(is_due).map(|r| r.worker).collect();
        for worker in deadly {
            self.crash(worker, now_ms);
        }
        if self.plan.crash_interval_ms == 0 || now_ms < self.next_crash_ms {
            return;
        }
        let interval_ms = self.plan.crash_interval_ms;
        self.next_crash_ms = now_ms + 100 + self.below(2 * interval_ms - 200);
        let start = self.below(self.plan.workers as u64) as usize;
        let (rack, domain) = (self.plan.rack, self.plan.domain);
        let (first, count, apart_ms) = match self.below(10) {
            0..=4 => (start, 1, 0),
            5..=7 => (start / rack * rack, rack, 0),
            8 => (start / domain * domain, domain, 0),
            // A release whose workers crash one after the other.
            _ => (start / rack * rack, rack * 2, 400),
        };
        for index in 0..count {
            let worker = (first + index) % self.plan.workers;
            if apart_ms == 0 {
                self.crash(worker, now_ms);
            } else if self.up_from_ms[worker] <= now_ms {
                // Each worker of the release crashes at a request of its own.
                let at_ms = now_ms + apart_ms * index as u64;
                let (starts_ms, ends_ms) = (at_ms, at_ms + 1_000);
                let shared = vec![1, 100, self.next_conversation];
                self.next_conversation += 1;
                let (daemon, is_recorded, is_repeat) = (0, true, true);
                self.running.push(Running {
                    daemon,
                    worker,
                    shared,
                    starts_ms,
                    ends_ms,
                    is_recorded,
                    is_repeat,
                });
            }
        }
    }

    fn crash(&mut self, worker: usize, now_ms: u64) {
        if self.up_from_ms[worker] > now_ms {
            return;
        }
        self.up_from_ms[worker] = now_ms + RESTART_MS;
        self.outcome.crashes += 1;
        let name = name::WorkerName::from(format!("w{worker}-{now_ms}"));
        let (broken, others) = std::mem::take(&mut self.running)
            .into_iter()
            .partition::<Vec<_>, _>(|request| request.worker == worker);
        self.running = others;
        let mut crashes: IndexMap<usize, quarantine::WorkerCrash> = IndexMap::new();
        for request in broken {
            let new = || quarantine::WorkerCrash::new(name.clone(), 1);
            if !request.is_recorded {
                let crash = crashes.entry(request.daemon).or_insert_with(new);
                crash.add_request(&prompt(&request.shared));
            }
            let is_deadly = request.shared.iter().any(|segment| *segment >= DEADLY);
            if !request.is_repeat && !is_deadly && self.below(2) == 0 {
                self.waiting.push((now_ms + DETECTION_MS, request.shared, true));
            }
        }
        let noticed_ms = now_ms + DETECTION_MS + self.below(30);
        self.unnoticed.extend(crashes.into_iter().map(|(on, crash)| (noticed_ms, on, crash)));
    }

    fn notice_crashes(&mut self, now_ms: u64) {
        let (due, later) = std::mem::take(&mut self.unnoticed)
            .into_iter()
            .partition::<Vec<_>, _>(|(at_ms, ..)| *at_ms <= now_ms);
        self.unnoticed = later;
        for (_, reporter, crash) in due {
            for (index, daemon) in self.daemons.iter_mut().enumerate() {
                if index == reporter {
                    daemon.record_crash(&crash, now_ms);
                } else {
                    let from = name::HostName::from(format!("d{reporter}"));
                    let crash = crash.clone();
                    let report = quarantine::CrashReport { from, is_newest: true, crash };
                    daemon.record_peer_crash(&report, now_ms);
                }
            }
        }
    }

    fn update_daemons(&mut self, now_ms: u64) {
        for daemon in &mut self.daemons {
            for change in daemon.update(now_ms) {
                let quarantine::SegmentChange::Quarantined { segment, .. } = change else {
                    continue;
                };
                if u64::from(segment) < DEADLY {
                    self.outcome.wrong.insert(segment.into());
                }
            }
        }
    }

    fn exchange(&mut self, now_ms: u64) {
        for from in 0..self.daemons.len() {
            let clearances: Vec<_> = self.daemons[from].clearances().collect();
            let verdicts: Vec<_> =
                self.daemons[from].active(now_ms).map(|(s, v)| (s, v.to_peers(now_ms))).collect();
            for (to, daemon) in self.daemons.iter_mut().enumerate() {
                if to == from {
                    continue;
                }
                for (segment, started_ms) in &clearances {
                    daemon.clear(*segment, *started_ms, now_ms);
                }
                for (segment, verdict) in &verdicts {
                    daemon.apply_verdict(*segment, *verdict, now_ms);
                }
            }
        }
    }
}
