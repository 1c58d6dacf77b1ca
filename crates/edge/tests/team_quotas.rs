//! Tests of which daemons own shares in the rates of teams, and of the datagrams about shares.

mod support;

use jasminetack_domain::{name, order_lease, team_quota};
use jasminetack_edge::{clock, control, store};
use jasminetack_wire::fleet;
use prost::Message;
use support::{Daemon, NOW_MS, locality};

const PEERS: u8 = 3;
const LEASE_MS: u64 = 12_000;
const BOUNDS: team_quota::QuotaBounds =
    team_quota::QuotaBounds { window_ms: 8_000, overage: 0.1, slack_tokens: 72_000.0 };

fn team(index: usize) -> name::TeamName {
    name::TeamName::from(format!("hule{index}"))
}

/// Creates a daemon with teams that reads the lease rows of other daemons.
fn daemon_with_teams(teams: usize, now_ms: u64) -> Daemon {
    let mut daemon = Daemon::new(&["w1"]);
    let limit = team_quota::TeamLimit::new(100_000.0, 100_000.0, BOUNDS);
    let limits: Vec<_> = (0..teams).map(|index| (team(index), limit)).collect();
    daemon.state.team_tokens().quotas.lock().set_limits(limits, now_ms);
    read_leases(&mut daemon, NOW_MS, now_ms);
    daemon
}

/// Reads leases that end `LEASE_MS` after `NOW_MS` at a time of the store's clock.
fn read_leases(daemon: &mut Daemon, store_ms: u64, now_ms: u64) {
    let row = |index: u8| {
        let lease = order_lease::LeaseRow {
            host: name::HostName::from(format!("other-{index}")),
            address: format!("127.0.1.{index}:7380").parse().expect("an address"),
            place: locality(),
            expires_store_ms: NOW_MS + LEASE_MS,
            era_start: order_lease::EraStart::default(),
        };
        let value = Some(fleet::Lease::from(&lease).encode_to_vec());
        store::Row { key: lease.host.to_string(), value, version: 1 }
    };
    let leases = store::Listing { rows: (1..=PEERS).map(row).collect(), version: 1, store_ms };
    let holders = store::Listing { rows: Vec::new(), version: 1, store_ms };
    let reply =
        control::StoreReply::Rows { leases: Ok(leases), holders: Ok(holders), sent_ms: now_ms };
    daemon.state.receive(vec![control::Message::StoreReply(reply)], now_ms);
    // The list of workers tells the store's clock as well.
    let listing = store::Listing { rows: Vec::new(), version: 1, store_ms };
    let event = control::FeedEvent::Listed(listing);
    let read = control::Message::TableRead(store::Table::Operator, event, now_ms);
    daemon.state.receive(vec![read], now_ms);
}

fn hear_of_others(daemon: &mut Daemon, sequence: u64, now_ms: u64) {
    for index in 1..=PEERS {
        let state = fleet::DaemonState {
            address: format!("127.0.1.{index}:7380"),
            interval_ms: 1_000,
            ..fleet::DaemonState::default()
        };
        let datagram = fleet::Datagram {
            host: format!("other-{index}"),
            started_unix_ms: 1,
            sequence,
            state: Some(state),
            ..fleet::Datagram::default()
        };
        daemon.state.receive(vec![control::Message::Datagram(Box::new(datagram))], now_ms);
    }
}

fn own_share(daemon: &mut Daemon, now_ms: u64) -> f64 {
    daemon.state.tick(now_ms);
    let quotas = daemon.state.team_tokens().quotas.lock();
    quotas.iter().map(|(_, quota)| quota.shares().own()).next().expect("a team")
}

/// Guards against a daemon that is cut off and uses its share while the others divide it.
#[test]
fn a_daemon_without_a_lease_that_hears_few_others_uses_little_of_its_share() {
    let now_ms = clock::now_ms();
    let mut daemon = daemon_with_teams(1, now_ms);
    assert_eq!(own_share(&mut daemon, now_ms), 0.25);
    assert_eq!(own_share(&mut daemon, now_ms + 4_000), 0.25);
    assert_eq!(own_share(&mut daemon, now_ms + 6_000), 0.25 / 20.0);
    // The store is away from all daemons, which hear each other.
    hear_of_others(&mut daemon, 5, now_ms + 6_100);
    assert_eq!(own_share(&mut daemon, now_ms + 6_200), 0.25);
}

/// Guards against a share that is divided before its owner has noticed that its lease has expired.
#[test]
fn a_silent_daemon_owns_its_share_until_its_lease_has_expired_for_some_time() {
    let now_ms = clock::now_ms();
    let mut daemon = daemon_with_teams(1, now_ms);
    assert_eq!(own_share(&mut daemon, now_ms), 0.25);
    read_leases(&mut daemon, NOW_MS + LEASE_MS + 5_000, now_ms + 4_100);
    assert_eq!(own_share(&mut daemon, now_ms + 4_200), 0.25);
    read_leases(&mut daemon, NOW_MS + LEASE_MS + 7_000, now_ms + 4_300);
    assert_eq!(own_share(&mut daemon, now_ms + 4_400), 1.0);
}

/// Guards against daemons that each own the whole rate after a loss of power in which all leases have
/// expired.
#[test]
fn a_daemon_that_has_just_started_counts_daemons_whose_leases_have_expired() {
    let now_ms = clock::now_ms();
    let mut daemon = daemon_with_teams(1, now_ms);
    read_leases(&mut daemon, NOW_MS + LEASE_MS + 60_000, now_ms + 10);
    assert_eq!(own_share(&mut daemon, now_ms + 20), 0.25);
    assert_eq!(own_share(&mut daemon, now_ms + 4_900), 1.0);
}

/// Guards against one datagram for each team.
#[test]
fn loans_of_all_teams_to_one_daemon_are_in_one_datagram() {
    let now_ms = clock::now_ms();
    let mut daemon = daemon_with_teams(40, now_ms);
    hear_of_others(&mut daemon, 5, now_ms + 50);
    daemon.take_datagrams();
    daemon.state.tick(now_ms + 100);
    let datagrams = daemon.take_datagrams();
    let with_loans = datagrams.iter().filter(|sent| !sent.datagram.team_loans.is_empty());
    let with_loans: Vec<_> = with_loans.collect();
    assert_eq!(with_loans.len(), usize::from(PEERS));
    let loans: usize = with_loans.iter().map(|sent| sent.datagram.team_loans.len()).sum();
    assert!(loans > 20, "{loans} loans");
    daemon.state.tick(now_ms + 200);
    let repeated = daemon.take_datagrams();
    assert!(repeated.iter().all(|sent| sent.datagram.team_loans.is_empty()));
}

/// Guards against a request for tokens that waits for the next tick.
#[test]
fn tokens_are_requested_from_the_exchange_at_once() {
    let now_ms = clock::now_ms();
    let mut daemon = daemon_with_teams(40, now_ms);
    hear_of_others(&mut daemon, 5, now_ms + 50);
    daemon.state.tick(now_ms + 100);
    daemon.take_datagrams();
    for index in 0..40 {
        let quotas = daemon.state.team_tokens();
        let charged = quotas.quotas.lock().charge(&team(index), 60_000, false, now_ms + 110);
        assert_eq!(charged, Some(team_quota::Admission::AwaitTokens));
    }
    daemon.state.receive(vec![control::Message::TeamTokensNeeded], now_ms + 110);
    let datagrams = daemon.take_datagrams();
    let requests: usize =
        datagrams.iter().map(|sent| sent.datagram.team_share_requests.len()).sum();
    assert_eq!(datagrams.len(), usize::from(PEERS));
    assert!(requests > 20, "{requests} requests");
}
