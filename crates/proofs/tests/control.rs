//! Tests of leases, ownership and shutdown against the real programs.

use std::thread;
use std::time::{Duration, Instant};

use jasminetack_proofs::caller;
use jasminetack_proofs::fleet::{Fleet, FleetConfig};
use jasminetack_proofs::wait;

/// Limit set by the design on the time from an owner's death until its worker serves new requests.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(3);
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(20);

fn one_engine_config(daemons: usize) -> FleetConfig {
    FleetConfig { daemons, engines: 1, ..FleetConfig::default() }
}

/// Waits until every daemon can route to the engine. The owner row is committed before all daemons
/// have received the event, and until then a daemon refuses requests.
fn wait_for_routes(fleet: &Fleet) {
    let request = caller::CompletionRequest::default();
    for daemon in &fleet.daemons {
        wait::until("the daemon knows the owner", wait::DEFAULT_TIMEOUT, || {
            daemon.complete(&request).is_expected_completion("offers", 1, &request)
        })
        .expect("every daemon learns the owner");
    }
}

/// Guards against a worker that has no owner for longer than the limit after its owner died.
#[test]
fn worker_of_a_dead_owner_serves_again_within_the_bound() {
    let mut fleet = Fleet::start(one_engine_config(3)).unwrap();
    let (owner, fencing) = fleet.owner("engine0").unwrap();
    let other = (owner + 1) % 3;
    let request =
        caller::CompletionRequest { timeout_ms: 2_000, ..caller::CompletionRequest::default() };
    wait_for_routes(&fleet);
    assert!(fleet.daemons[other].complete(&request).is_expected_completion("offers", 1, &request));
    fleet.daemons[owner].program.kill().unwrap();
    let killed_at = Instant::now();
    wait::until("the worker serves again", wait::DEFAULT_TIMEOUT, || {
        fleet.daemons[other].complete(&request).is_expected_completion("offers", 1, &request)
    })
    .unwrap();
    let takeover_ms = killed_at.elapsed().as_millis();
    println!("worker served again after {takeover_ms} ms");
    assert!(killed_at.elapsed() <= TAKEOVER_LIMIT, "worker served again after {takeover_ms} ms");
    let (new_owner, new_fencing) = fleet.owner("engine0").unwrap();
    assert_ne!(new_owner, owner);
    assert_eq!(new_fencing, fencing + 1);
    assert_eq!(fleet.violations(), Vec::<String>::new());
}

/// Guards against a paused owner that continues under its expired ownership when it resumes.
#[test]
fn paused_owner_resumes_under_a_new_incarnation() {
    let fleet = Fleet::start(one_engine_config(3)).unwrap();
    let (owner, fencing) = fleet.owner("engine0").unwrap();
    let name = fleet.daemons[owner].host.name.clone();
    let session = |field: &str| {
        let value = fleet.platform.read(&format!("session/{name}")).unwrap().value.unwrap();
        value[field].clone()
    };
    let incarnation = session("incarnation").as_u64().unwrap();
    fleet.daemons[owner].program.pause().unwrap();
    wait::until("a new owner", wait::DEFAULT_TIMEOUT, || {
        fleet.owner("engine0").is_some_and(|(_, now)| now > fencing)
    })
    .unwrap();
    fleet.daemons[owner].program.resume().unwrap();
    wait::until("a new incarnation", wait::DEFAULT_TIMEOUT, || {
        session("incarnation").as_u64() > Some(incarnation) && session("state") == "live"
    })
    .unwrap();
    assert_eq!(fleet.violations(), Vec::<String>::new());
}

/// Guards against a shutdown that aborts a stream or leaves workers without an owner.
#[test]
fn shutdown_finishes_streams_and_hands_workers_over() {
    let mut fleet = Fleet::start(one_engine_config(3)).unwrap();
    let (owner, fencing) = fleet.owner("engine0").unwrap();
    let other = (owner + 1) % 3;
    wait_for_routes(&fleet);
    let previous_runs = fleet.engines[0].engine_audit().unwrap().runs.len();
    let request = caller::CompletionRequest {
        max_tokens: 200,
        stream: true,
        ..caller::CompletionRequest::default()
    };
    let addresses =
        [fleet.daemons[owner].callers_address(), fleet.daemons[other].callers_address()];
    let streams = addresses.map(|address| {
        let request = request.clone();
        thread::spawn(move || caller::complete(address, &request))
    });
    wait::until("both streams run", wait::DEFAULT_TIMEOUT, || {
        let audit = fleet.engines[0].engine_audit();
        audit.is_ok_and(|audit| audit.runs.len() >= previous_runs + 2)
    })
    .unwrap();
    fleet.daemons[owner].program.terminate().unwrap();
    let status = fleet.daemons[owner].program.wait_for_exit(SHUTDOWN_TIMEOUT).unwrap();
    assert!(status.success(), "{status}");
    for stream in streams {
        let response = stream.join().unwrap();
        assert!(response.is_expected_completion("offers", 1, &request), "{response:?}");
    }
    let (new_owner, new_fencing) = fleet.owner("engine0").unwrap();
    assert_ne!(new_owner, owner);
    assert_eq!(new_fencing, fencing + 1);
    let name = &fleet.daemons[owner].host.name;
    let session = fleet.platform.read(&format!("session/{name}")).unwrap().value.unwrap();
    assert_eq!(session["state"], "ended");
    assert_eq!(fleet.violations(), Vec::<String>::new());
}
