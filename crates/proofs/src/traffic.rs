//! Callers that send requests until they are stopped, and the rules that every response must keep.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use jasminetack_standins::engine;

use crate::caller::{self, CompletionRequest, Response};
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

/// One request and its response.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Daemon that was asked.
    pub daemon: SocketAddr,
    /// The request.
    pub request: CompletionRequest,
    /// The response.
    pub response: Response,
    /// When the request was sent.
    pub sent: Instant,
}

impl Traffic {
    /// Starts callers; caller `i` starts with daemon and request `i` and takes both in turn.
    #[must_use]
    pub fn start(
        caller_count: usize,
        daemons: &[SocketAddr],
        requests: &[CompletionRequest],
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicUsize::new(0));
        let mut callers = Vec::new();
        for first in 0..caller_count {
            let (stop, answered) = (Arc::clone(&stop), Arc::clone(&answered));
            let (daemons, requests) = (daemons.to_vec(), requests.to_vec());
            callers.push(thread::spawn(move || {
                let mut samples = Vec::new();
                let mut turn = first;
                while !stop.load(Ordering::Relaxed) {
                    let daemon = daemons[turn % daemons.len()];
                    let mut request = requests[turn % requests.len()].clone();
                    // Each prompt differs, so that a response to another request is noticed.
                    request.prompt.push_str(&format!(" {first}-{turn}"));
                    let sent = Instant::now();
                    let response = caller::complete(daemon, &request);
                    if response.status == 200 {
                        answered.fetch_add(1, Ordering::Relaxed);
                    } else {
                        thread::sleep(PAUSE_AFTER_REFUSAL);
                    }
                    samples.push(Sample { daemon, request, response, sent });
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
            faults.push(format!("{fault}: {:?} {:?}", sample.request, sample.response));
        }
    }
    faults
}

fn fault(sample: &Sample, fleet: &Fleet, may_vanish: bool) -> Option<&'static str> {
    let Sample { request, response, .. } = sample;
    if response.status == 0 {
        return (!may_vanish).then_some("the connection broke without a response");
    }
    if response.status != 200 {
        return match (response.outcome.as_deref(), &response.request_id) {
            (Some("not-run"), Some(request_id)) if fleet.runs(request_id) > 0 => {
                Some("guarantee 4: refused as not-run but ran")
            }
            (Some("not-run" | "unknown"), _) => None,
            _ => Some("a failure without an outcome"),
        };
    }
    let Some((name, version)) = response.adapter.as_deref().and_then(|it| it.split_once('@'))
    else {
        return Some("a response without the adapter's name");
    };
    let asked = request.model.split_once('@');
    let is_asked = match asked {
        Some((asked_name, asked_version)) => asked_name == name && asked_version == version,
        None => request.model == name,
    };
    if !is_asked {
        return Some("guarantee 1: another adapter or version answered");
    }
    let expected =
        engine::expected_text(&format!("{name}/{version}"), &request.prompt, request.max_tokens);
    if response.is_complete && response.text != expected {
        return Some("guarantees 1 and 3: the complete response is not the one to this request");
    }
    if !response.is_complete && request.stream && !expected.starts_with(&response.text) {
        return Some("guarantee 3: the part that arrived is not of this request's response");
    }
    None
}
