//! Tests of what daemons keep of the operator's and the workers' entries when the store is restored.

mod support;

use jasminetack_domain::store_version::StoreVersion;
use jasminetack_domain::upstream;
use jasminetack_edge::{control, store};
use support::{CONFIGURATION_WITH_TEAMS, Daemon, NOW_MS};

/// Key, value and number of the transaction that wrote a row.
type Entry<'a> = (&'a str, &'a [u8], u64);

/// Has a daemon list a table in an era of the store.
fn list(
    daemon: &mut Daemon,
    table: store::Table,
    era: u64,
    number: u64,
    entries: &[Entry<'_>],
    now_ms: u64,
) {
    let version = |number| StoreVersion::new(era, number).as_u64();
    let rows = entries.iter().map(|(key, value, number)| store::Row {
        key: (*key).to_owned(),
        value: Some(value.to_vec()),
        version: version(*number),
    });
    let listing =
        store::Listing { rows: rows.collect(), version: version(number), store_ms: now_ms };
    let event = control::FeedEvent::Listed(listing);
    let read = control::Message::TableRead(table, event, now_ms);
    daemon.state.receive(vec![read], now_ms);
    daemon.state.tick(now_ms);
}

fn workers(daemon: &Daemon) -> Vec<String> {
    let view = daemon.view.load();
    let workers = view.services.values().flatten();
    workers.map(|worker| worker.upstream.name.to_string()).collect()
}

/// Guards against dropping live workers whose entries are missing in the copy from which the store was restored.
#[test]
fn a_worker_that_is_missing_in_a_restored_list_has_time_to_register_again() {
    let mut daemon = Daemon::new(&[]);
    let table = store::Table::Workers;
    list(&mut daemon, table, 1, 20, &[("old", b"", 5), ("new", b"", 20)], NOW_MS);
    let restored_ms = NOW_MS + 60_000;
    list(&mut daemon, table, 2, 10, &[("old", b"", 5)], restored_ms);
    assert_eq!(workers(&daemon), ["old", "new"]);
    list(&mut daemon, table, 2, 12, &[("old", b"", 5), ("new", b"", 12)], restored_ms + 1_000);
    let later_ms = restored_ms + 2 * upstream::REREGISTRATION_GRACE_MS;
    list(&mut daemon, table, 2, 13, &[("new", b"", 12)], later_ms);
    // Without another restore, an entry that is missing is that of a worker that has left.
    assert_eq!(workers(&daemon), ["new"]);
}

/// Guards against keeping a worker that has left for longer than it would take to register again.
#[test]
fn a_worker_that_stays_missing_after_a_restore_is_dropped() {
    let mut daemon = Daemon::new(&[]);
    let table = store::Table::Workers;
    list(&mut daemon, table, 1, 20, &[("old", b"", 5), ("new", b"", 20)], NOW_MS);
    let restored_ms = NOW_MS + 60_000;
    list(&mut daemon, table, 2, 10, &[("old", b"", 5)], restored_ms);
    daemon.state.tick(restored_ms + upstream::REREGISTRATION_GRACE_MS);
    assert_eq!(workers(&daemon), ["old"]);
}

/// Guards against staying on a configuration that a restore lost when the operator writes another one with the
/// same version, and against going back to an older version that the copy shows.
#[test]
fn a_configuration_that_was_lost_is_replaced_by_another_with_its_version() {
    let mut daemon = Daemon::new(&[]);
    let table = store::Table::Operator;
    let in_force = |daemon: &Daemon| {
        let view = daemon.view.load();
        view.ingress.as_ref().map(|ingress| (ingress.version(), ingress.teams().is_some()))
    };
    list(&mut daemon, table, 1, 20, &[("config", &[3], 20)], NOW_MS);
    list(&mut daemon, table, 1, 21, &[(CONFIGURATION_WITH_TEAMS, &[3, 1], 21)], NOW_MS + 1_000);
    assert_eq!(in_force(&daemon), Some((3, false)), "without a restore, a version has one content");
    list(&mut daemon, table, 2, 10, &[("config", &[2], 10)], NOW_MS + 2_000);
    assert_eq!(in_force(&daemon), Some((3, false)), "an older version took effect");
    list(&mut daemon, table, 2, 15, &[(CONFIGURATION_WITH_TEAMS, &[3, 1], 15)], NOW_MS + 3_000);
    assert_eq!(in_force(&daemon), Some((3, true)));
    // The lost content does not come back with a late response.
    list(&mut daemon, table, 1, 22, &[("config", &[3], 20)], NOW_MS + 4_000);
    assert_eq!(in_force(&daemon), Some((3, true)));
}
