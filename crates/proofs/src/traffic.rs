//! Load generator for fleets, and checks of the guarantees on the responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use jasminetack_standins::engine;

use crate::caller::{self, CompletionRequest, Response};
use crate::fleet::Fleet;
use crate::wait;

/// Time that a caller waits after a response without status 200.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(50);

/// Caller threads that send requests until they are stopped.
#[derive(Debug)]
pub struct LoadGenerator {
    stop: Arc<AtomicBool>,
    success_count: Arc<AtomicUsize>,
    callers: Vec<JoinHandle<Vec<Exchange>>>,
}

/// Request with its response.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Address of the daemon that received the request.
    pub daemon: SocketAddr,
    /// Request.
    pub request: CompletionRequest,
    /// Response.
    pub response: Response,
    /// Time at which the request was sent.
    pub sent: Instant,
}

impl LoadGenerator {
    /// Starts callers. Caller `i` starts with daemon and request `i` and then cycles through both.
    #[must_use]
    pub fn start(
        caller_count: usize,
        daemons: &[SocketAddr],
        requests: &[CompletionRequest],
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let success_count = Arc::new(AtomicUsize::new(0));
        let mut callers = Vec::new();
        for first in 0..caller_count {
            let (stop, success_count) = (Arc::clone(&stop), Arc::clone(&success_count));
            let (daemons, requests) = (daemons.to_vec(), requests.to_vec());
            callers.push(thread::spawn(move || {
                let mut exchanges = Vec::new();
                let mut sequence = first;
                while !stop.load(Ordering::Relaxed) {
                    let daemon = daemons[sequence % daemons.len()];
                    let mut request = requests[sequence % requests.len()].clone();
                    // Prompts are unique, so that a response to another request is detected.
                    request.prompt.push_str(&format!(" {first}-{sequence}"));
                    let sent = Instant::now();
                    let response = caller::complete(daemon, &request);
                    if response.status == 200 {
                        success_count.fetch_add(1, Ordering::Relaxed);
                    } else {
                        thread::sleep(REFUSAL_BACKOFF);
                    }
                    exchanges.push(Exchange { daemon, request, response, sent });
                    sequence += 1;
                }
                exchanges
            }));
        }
        Self { stop, success_count, callers }
    }

    /// Returns the number of responses with status 200 so far.
    #[must_use]
    pub fn success_count(&self) -> usize {
        self.success_count.load(Ordering::Relaxed)
    }

    /// Waits for a number of additional responses with status 200.
    ///
    /// # Errors
    ///
    /// Fails when they do not arrive within `timeout`.
    pub fn wait_for_responses(&self, count: usize, timeout: Duration) -> std::io::Result<Duration> {
        let target = self.success_count() + count;
        wait::until("additional responses", timeout, || self.success_count() >= target)
    }

    /// Stops the callers after their current requests and returns all requests and responses.
    #[must_use]
    pub fn stop(self) -> Vec<Exchange> {
        self.stop.store(true, Ordering::Relaxed);
        let mut exchanges = Vec::new();
        for caller in self.callers {
            exchanges.extend(caller.join().unwrap_or_default());
        }
        exchanges
    }
}

/// Returns the violations of guarantees 1 to 4 found in responses and in engine audits.
///
/// `may_disconnect` lists daemons that were killed or paused, whose connections may break.
#[must_use]
pub fn guarantee_violations(
    exchanges: &[Exchange],
    fleet: &Fleet,
    may_disconnect: &[SocketAddr],
) -> Vec<String> {
    let mut violations = fleet.violations();
    for exchange in exchanges {
        let may_disconnect = may_disconnect.contains(&exchange.daemon);
        if let Some(violation) = guarantee_violation(exchange, fleet, may_disconnect) {
            violations.push(format!("{violation}: {:?} {:?}", exchange.request, exchange.response));
        }
    }
    violations
}

fn guarantee_violation(
    exchange: &Exchange,
    fleet: &Fleet,
    may_disconnect: bool,
) -> Option<&'static str> {
    let Exchange { request, response, .. } = exchange;
    if response.status == 0 {
        return (!may_disconnect).then_some("the connection broke before a response arrived");
    }
    if response.status != 200 {
        return match (response.outcome.as_deref(), &response.request_id) {
            (Some("not-run"), Some(request_id)) if fleet.runs(request_id) > 0 => {
                Some("guarantee 4: refused as not-run but executed")
            }
            (Some("not-run" | "unknown"), _) => None,
            _ => Some("an error response without an outcome"),
        };
    }
    let Some((name, version)) = response.adapter.as_deref().and_then(|it| it.split_once('@'))
    else {
        return Some("a successful response without the adapter header");
    };
    let asked = request.model.split_once('@');
    let is_asked = match asked {
        Some((asked_name, asked_version)) => asked_name == name && asked_version == version,
        None => request.model == name,
    };
    if !is_asked {
        return Some("guarantee 1: the response is from another adapter or version");
    }
    let expected =
        engine::expected_text(&format!("{name}/{version}"), &request.prompt, request.max_tokens);
    if response.is_complete && response.text != expected {
        return Some("guarantees 1 and 3: the complete response does not match the request");
    }
    if !response.is_complete && request.stream && !expected.starts_with(&response.text) {
        return Some("guarantee 3: the partial response is not a prefix of the expected one");
    }
    None
}
