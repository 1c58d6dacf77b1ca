//! Callers that send requests until they are stopped, and the rules that every answer must keep.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use jasminetack_standins::engine;

use crate::caller::{self, Answer, Ask};
use crate::fleet::Fleet;
use crate::wait;

/// Pause of a caller after a refusal.
const PAUSE_AFTER_REFUSAL: Duration = Duration::from_millis(50);

/// Callers that send requests until they are stopped.
#[derive(Debug)]
pub struct Traffic {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    callers: Vec<JoinHandle<Vec<Sample>>>,
}

/// One request and its answer.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Daemon that was asked.
    pub daemon: SocketAddr,
    /// The request.
    pub ask: Ask,
    /// The answer.
    pub answer: Answer,
    /// When the request was sent.
    pub sent: Instant,
}

impl Traffic {
    /// Starts callers; caller `i` starts with daemon and request `i` and takes both in turn.
    #[must_use]
    pub fn start(caller_count: usize, daemons: &[SocketAddr], asks: &[Ask]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicUsize::new(0));
        let mut callers = Vec::new();
        for first in 0..caller_count {
            let (stop, answered) = (Arc::clone(&stop), Arc::clone(&answered));
            let (daemons, asks) = (daemons.to_vec(), asks.to_vec());
            callers.push(thread::spawn(move || {
                let mut samples = Vec::new();
                let mut turn = first;
                while !stop.load(Ordering::Relaxed) {
                    let daemon = daemons[turn % daemons.len()];
                    let mut ask = asks[turn % asks.len()].clone();
                    // Each prompt differs, so that an answer to another request is noticed.
                    ask.prompt.push_str(&format!(" {first}-{turn}"));
                    let sent = Instant::now();
                    let answer = caller::ask(daemon, &ask);
                    if answer.status == 200 {
                        answered.fetch_add(1, Ordering::Relaxed);
                    } else {
                        thread::sleep(PAUSE_AFTER_REFUSAL);
                    }
                    samples.push(Sample { daemon, ask, answer, sent });
                    turn += 1;
                }
                samples
            }));
        }
        Self { stop, answered, callers }
    }

    /// Returns the answers with status 200 so far.
    #[must_use]
    pub fn answered(&self) -> usize {
        self.answered.load(Ordering::Relaxed)
    }

    /// Waits for a number of further answers with status 200.
    ///
    /// # Errors
    ///
    /// Fails when they do not arrive within the bound.
    pub fn wait_answers(&self, count: usize, bound: Duration) -> std::io::Result<Duration> {
        let enough = self.answered() + count;
        wait::until("further answers", bound, || self.answered() >= enough)
    }

    /// Stops the callers after their present requests and returns everything they saw.
    #[must_use]
    pub fn stop(self) -> Vec<Sample> {
        self.stop.store(true, Ordering::Relaxed);
        let mut samples = Vec::new();
        for caller in self.callers {
            samples.extend(caller.join().unwrap_or_default());
        }
        samples
    }
}

/// Lists what is wrong with answers and engines under guarantees 1 to 4.
///
/// `may_vanish` names daemons that were ended or frozen, whose connections may break.
#[must_use]
pub fn faults(samples: &[Sample], fleet: &Fleet, may_vanish: &[SocketAddr]) -> Vec<String> {
    let mut faults = fleet.violations();
    for sample in samples {
        let may_vanish = may_vanish.contains(&sample.daemon);
        if let Some(fault) = fault(sample, fleet, may_vanish) {
            faults.push(format!("{fault}: {:?} {:?}", sample.ask, sample.answer));
        }
    }
    faults
}

fn fault(sample: &Sample, fleet: &Fleet, may_vanish: bool) -> Option<&'static str> {
    let Sample { ask, answer, .. } = sample;
    if answer.status == 0 {
        return (!may_vanish).then_some("the connection broke without an answer");
    }
    if answer.status != 200 {
        return match (answer.outcome.as_deref(), &answer.request_id) {
            (Some("not-run"), Some(request_id)) if fleet.runs(request_id) > 0 => {
                Some("guarantee 4: refused as not-run but ran")
            }
            (Some("not-run" | "unknown"), _) => None,
            _ => Some("a failure without an outcome"),
        };
    }
    let Some((name, version)) = answer.adapter.as_deref().and_then(|it| it.split_once('@')) else {
        return Some("an answer without the adapter's name");
    };
    let asked = ask.model.split_once('@');
    let is_asked = match asked {
        Some((asked_name, asked_version)) => asked_name == name && asked_version == version,
        None => ask.model == name,
    };
    if !is_asked {
        return Some("guarantee 1: another adapter or version answered");
    }
    let expected = engine::expected_text(&format!("{name}/{version}"), &ask.prompt, ask.max_tokens);
    if answer.is_complete && answer.text != expected {
        return Some("guarantees 1 and 3: the complete answer is not the one to this request");
    }
    if !answer.is_complete && ask.stream && !expected.starts_with(&answer.text) {
        return Some("guarantee 3: the part that arrived is not of this request's answer");
    }
    None
}
