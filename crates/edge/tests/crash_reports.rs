//! Tests of what the control thread tells other daemons of crashed workers.

mod support;

use jasminetack_domain::{dispatch, name, quarantine};
use jasminetack_edge::control;
use jasminetack_wire::fleet;
use support::{Daemon, NOW_MS};

const DEADLY: u64 = 0xdead;
const SOUND: u64 = 1;

/// Takes the crashes that other daemons were told of.
fn take_crash_reports(daemon: &mut Daemon) -> Vec<fleet::WorkerCrash> {
    let datagrams = daemon.take_datagrams().into_iter();
    datagrams.flat_map(|outgoing| outgoing.datagram.crashes).collect()
}

fn notice_crash(daemon: &mut Daemon, worker: &str) {
    let mut crash = quarantine::WorkerCrash::new(name::WorkerName::from(worker), 1);
    let ids = [SOUND, DEADLY, u64::MAX];
    crash.add_request(&ids.map(|id| dispatch::PromptSegment { id: id.into(), tokens: 1 }));
    daemon.receive(control::Message::WorkerCrashed(crash));
}

#[test]
fn other_daemons_are_told_of_a_crash_whose_cause_is_known_here() {
    let mut daemon = Daemon::new(&["w1"]);
    let quarantined = fleet::QuarantinedSegment {
        segment: DEADLY,
        first_crash_age_ms: 3_000,
        remaining_ms: 100_000,
        duration_ms: 120_000,
    };
    let quarantined = vec![quarantined];
    daemon.receive_state(fleet::DaemonState { quarantined, ..fleet::DaemonState::default() }, 2);
    assert!(daemon.view.load().quarantined.contains_key(&dispatch::SegmentId::from(DEADLY)));
    notice_crash(&mut daemon, "w1");
    let reports = take_crash_reports(&mut daemon);
    assert_eq!(reports.len(), 1);
    let segments: Vec<_> = reports[0].suspects.iter().map(|suspect| suspect.segment).collect();
    assert_eq!(segments, [SOUND, DEADLY]);
}

#[test]
fn the_end_of_a_worker_that_leaves_is_no_crash() {
    let mut daemon = Daemon::new(&["draining-1", "w1"]);
    notice_crash(&mut daemon, "draining-1");
    notice_crash(&mut daemon, "not-listed");
    assert!(take_crash_reports(&mut daemon).is_empty());
}

/// Guards against datagrams that the network repeats: each report counts once, and three crashes are too few
/// for a quarantine.
#[test]
fn a_repeated_report_is_no_further_crash() {
    let mut daemon = Daemon::new(&["w1"]);
    for index in 0..3 {
        let mut crash = quarantine::WorkerCrash::new(name::WorkerName::from("w1"), index);
        let ids = [SOUND, DEADLY, u64::MAX];
        crash.add_request(&ids.map(|id| dispatch::PromptSegment { id: id.into(), tokens: 1 }));
        let datagram = fleet::Datagram {
            host: "other-1".to_owned(),
            started_unix_ms: 1,
            sequence: 10 + index,
            crashes: vec![fleet::WorkerCrash::from(&crash)],
            ..fleet::Datagram::default()
        };
        for delay_ms in [0, 1_600] {
            let message = control::Message::Datagram(Box::new(datagram.clone()));
            daemon.state.receive(vec![message], NOW_MS + 300 * index + delay_ms);
        }
    }
    daemon.state.tick(NOW_MS + 5_000);
    assert!(!daemon.view.load().quarantined.contains_key(&dispatch::SegmentId::from(DEADLY)));
}
