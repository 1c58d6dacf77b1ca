//! Tests of what the control thread tells other daemons of what workers state of themselves.

mod support;

use jasminetack_domain::store_version::StoreVersion;
use jasminetack_domain::{name, order_lease, request_limit};
use jasminetack_edge::{control, store};
use jasminetack_wire::fleet;
use prost::Message;
use support::{Daemon, NOW_MS};

const PEERS: u8 = 5;

fn daemon_with_peers() -> Daemon {
    let mut daemon = Daemon::new(&["w1", "w2"]);
    for index in 1..=PEERS {
        daemon.receive_state_of(index, fleet::DaemonState::default(), 2);
    }
    // Reads the store's clock from the list of workers.
    daemon.state.tick(NOW_MS);
    daemon.take_datagrams();
    daemon
}

fn state_limit(daemon: &mut Daemon, limit_per_s: Option<f64>, sent_ms: u64, now_ms: u64) {
    let worker = name::WorkerName::from("w1");
    let observation =
        request_limit::Observation { worker: &worker, started_unix_ms: 1, limit_per_s, sent_ms };
    let change = daemon.chooser.lock().limits.observe(&observation, now_ms);
    if let Some(change) = change {
        daemon.receive(control::Message::LimitChanged { worker, change });
    }
}

#[test]
fn all_daemons_are_told_at_once_that_a_limit_begins_and_ends() {
    let mut daemon = daemon_with_peers();
    state_limit(&mut daemon, Some(2.5), NOW_MS, NOW_MS);
    let told = daemon.take_datagrams();
    assert_eq!(told.len(), 1);
    assert_eq!(told[0].receivers.len(), usize::from(PEERS));
    assert_eq!(told[0].datagram.limits[0].limit_per_s, Some(2.5));
    // Further responses with the same limit are no news.
    state_limit(&mut daemon, Some(2.5), NOW_MS + 10, NOW_MS + 20);
    assert!(daemon.take_datagrams().is_empty());
    state_limit(&mut daemon, None, NOW_MS + 30, NOW_MS + 40);
    let told = daemon.take_datagrams();
    assert_eq!(told.len(), 1);
    let record = request_limit::LimitRecord::from(&told[0].datagram.limits[0]);
    assert_eq!(record.limit_per_s(), None);
}

#[test]
fn reports_repeat_what_workers_state_to_one_daemon_at_a_time() {
    let mut daemon = daemon_with_peers();
    state_limit(&mut daemon, Some(2.5), NOW_MS, NOW_MS);
    let worker = name::WorkerName::from("w2");
    daemon.receive(control::Message::WorkerLeaving { worker, started_unix_ms: 1 });
    daemon.take_datagrams();
    let mut told = std::collections::BTreeSet::new();
    for round in 0..60 {
        daemon.state.report(NOW_MS + round * 1_000);
        for outgoing in daemon.take_datagrams() {
            if outgoing.datagram.limits.is_empty() {
                assert!(outgoing.datagram.leaving.is_empty());
                continue;
            }
            assert_eq!(outgoing.receivers.len(), 1);
            told.extend(outgoing.receivers);
        }
    }
    // Those that missed the first datagram learn of it soon.
    assert_eq!(told.len(), usize::from(PEERS));
}

#[test]
fn a_worker_that_told_another_daemon_that_it_leaves_is_draining_here() {
    let mut daemon = daemon_with_peers();
    let leaving = vec![fleet::LeavingWorker { worker: "w2".to_owned(), started_unix_ms: 1 }];
    let datagram =
        fleet::Datagram { host: "other-1".to_owned(), leaving, ..fleet::Datagram::default() };
    daemon.receive(control::Message::Datagram(Box::new(datagram)));
    let view = daemon.view.load();
    let workers = view.workers(&name::ServiceName::from("llm"));
    let draining: Vec<_> = workers
        .iter()
        .filter(|worker| worker.upstream.is_draining)
        .map(|worker| worker.upstream.name.as_str())
        .collect();
    assert_eq!(draining, ["w2"]);
}

/// Has a daemon read the leases of the others, which end `remaining_ms` after `NOW_MS`, in an era of the store.
fn read_leases(daemon: &mut Daemon, era: u64, remaining_ms: u64, at_ms: u64) {
    let version = StoreVersion::new(era, 1).as_u64();
    let lease = |index: u8| {
        let row = order_lease::LeaseRow {
            host: name::HostName::from(format!("other-{index}")),
            address: ([127, 0, 1, 1], 7_380).into(),
            place: support::locality(),
            expires_store_ms: NOW_MS + remaining_ms,
            era_start: order_lease::EraStart::default(),
        };
        let value = Some(fleet::Lease::from(&row).encode_to_vec());
        store::Row { key: row.host.to_string(), value, version }
    };
    let listing = |rows| Ok(store::Listing { rows, version, store_ms: at_ms });
    let reply = control::StoreReply::Rows {
        leases: listing((1..=PEERS).map(lease).collect()),
        holders: listing(Vec::new()),
        sent_ms: at_ms,
    };
    daemon.state.receive(vec![control::Message::StoreReply(reply)], at_ms);
    daemon.state.tick(at_ms);
}

/// Counts the permits of a daemon in 30 s.
fn count_permits(daemon: &mut Daemon, from_ms: u64) -> usize {
    state_limit(daemon, Some(20.0), from_ms, from_ms);
    let mut chooser = daemon.chooser.lock();
    let worker = name::WorkerName::from("w1");
    let steps = (from_ms..from_ms + 30_000).step_by(20);
    steps.filter(|now_ms| chooser.limits.take(&worker, *now_ms).is_some()).count()
}

#[test]
fn a_daemon_that_is_silent_keeps_its_part_until_the_store_shows_its_lease_expired() {
    let mut daemon = daemon_with_peers();
    read_leases(&mut daemon, 0, 20_000, NOW_MS);
    let silent_ms = NOW_MS + 15_000;
    read_leases(&mut daemon, 0, 20_000, silent_ms);
    let with_others = count_permits(&mut daemon, silent_ms);
    assert!((60..=140).contains(&with_others), "a sixth of 600: {with_others}");
    let expired_ms = NOW_MS + 60_000;
    read_leases(&mut daemon, 0, 20_000, expired_ms);
    let alone = count_permits(&mut daemon, expired_ms);
    assert!(alone >= 550, "{alone}");
}

/// Guards against a limit that is overrun because the leases in a restored store are older than the live ones.
#[test]
fn a_daemon_that_is_silent_keeps_its_part_though_a_restored_store_shows_an_older_lease() {
    let mut daemon = daemon_with_peers();
    read_leases(&mut daemon, 1, 20_000, NOW_MS);
    let restored_ms = NOW_MS + 15_000;
    read_leases(&mut daemon, 2, 12_000, restored_ms);
    let with_others = count_permits(&mut daemon, restored_ms);
    assert!((60..=140).contains(&with_others), "a sixth of 600: {with_others}");
}
