//! Tests of what a daemon knows of the others.

use jasminetack_domain::adapter;
use jasminetack_domain::name;
use jasminetack_domain::placement;
use jasminetack_edge::control::Peers;
use jasminetack_wire::fleet;
use proptest::prelude::*;

const HOSTS: u8 = 4;
const WORKERS: u8 = 5;
/// Time without a datagram after which a daemon has certainly failed.
const FAILURE_MS: u64 = 60_000;

fn host(index: u8) -> name::HostName {
    name::HostName::from(format!("edge-{index}").as_str())
}

fn worker(index: u8) -> name::WorkerName {
    name::WorkerName::from(format!("w{index}").as_str())
}

#[derive(Clone, Debug)]
enum Event {
    /// A daemon reports the workers that it holds, each with a fencing token and its loads.
    Report(u8, Vec<(u8, u64, usize)>),
    /// Daemons that have not reported for a while are removed.
    RemoveFailed,
}

fn event() -> impl Strategy<Value = Event> {
    let held = prop::collection::vec((0..WORKERS, 1_u64..9, 0_usize..3), 0..4);
    prop_oneof![
        4 => (0..HOSTS, held).prop_map(|(host, held)| Event::Report(host, held)),
        1 => Just(Event::RemoveFailed),
    ]
}

fn report(peers: &mut Peers, index: u8, held: &[(u8, u64, usize)], sequence: u64, now_ms: u64) {
    let statuses = held.iter().map(|(held, fencing_token, loading)| {
        let loads = (0..*loading).map(|load| placement::HeldAdapter {
            adapter: adapter::AdapterRef::new(
                name::AdapterName::from(format!("m/a{load}").as_str()),
                1,
            ),
            is_loading: true,
        });
        let summary = placement::Summary { held: loads.collect(), ..Default::default() };
        fleet::WorkerStatus::new(&worker(*held), *fencing_token, &summary)
    });
    let state = fleet::DaemonState {
        region: "r".to_owned(),
        failure_domain: "a".to_owned(),
        has_worker_statuses: true,
        worker_statuses: statuses.collect(),
        ..Default::default()
    };
    let datagram =
        fleet::Datagram { host: host(index).to_string(), sequence, ..Default::default() };
    peers.apply_state(&datagram, &state, ([127, 0, 0, 1], 1).into(), now_ms);
}

proptest! {
    /// The index of holders agrees with a scan of all daemons, whatever they report.
    #[test]
    fn the_holder_of_a_worker_is_the_one_with_the_highest_fencing_token(
        events in prop::collection::vec(event(), 1..40),
    ) {
        let mut peers = Peers::default();
        for (sequence, event) in (1..).zip(events) {
            let now_ms = sequence * 1_000;
            match event {
                Event::Report(index, held) => report(&mut peers, index, &held, sequence, now_ms),
                Event::RemoveFailed => peers.retain_listed(&[host(0)], now_ms + FAILURE_MS),
            }
            for index in 0..WORKERS {
                let worker = worker(index);
                let scanned = peers.iter().filter_map(|(_, peer)| peer.assignments.get(&worker));
                let scanned = scanned.map(|(fencing_token, _)| *fencing_token).max();
                let indexed = peers.holder(&worker).map(|(_, _, fencing_token, _)| fencing_token);
                prop_assert_eq!(indexed, scanned);
            }
            let live = peers.iter().filter(|(_, peer)| peer.is_live(now_ms));
            let loading = live.flat_map(|(_, peer)| peer.assignments.values());
            let loading: usize = loading.map(|(_, summary)| summary.held.len()).sum();
            prop_assert_eq!(peers.loads_in_flight(now_ms), loading);
        }
    }
}
