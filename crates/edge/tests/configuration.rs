//! Tests of how configurations spread among daemons.

mod support;

use jasminetack_edge::{control, store};
use support::{CONFIGURATION_WITH_TEAMS, Daemon, NOW_MS};

/// Has a daemon read a version of the configuration from the store.
fn read_configuration(daemon: &mut Daemon, key: &str, version: u8) {
    let row =
        store::Row { key: key.to_owned(), value: Some(vec![version]), version: version.into() };
    let event = control::FeedEvent::Changed(vec![row], NOW_MS + u64::from(version));
    daemon.receive(control::Message::TableRead(store::Table::Operator, event, NOW_MS));
}

/// Returns the keys of the operator's rows that a daemon sent to others since the last call.
fn shared_rows(daemon: &mut Daemon) -> Vec<String> {
    let datagrams = daemon.take_datagrams();
    let rows = datagrams.into_iter().flat_map(|outgoing| outgoing.datagram.operator_rows);
    rows.map(|row| row.key).collect()
}

#[test]
fn a_configuration_is_sent_to_other_daemons_unless_it_contains_keys() {
    let mut daemon = Daemon::new(&["w1"]);
    // Rows of the first read are never sent.
    read_configuration(&mut daemon, "config", 1);
    shared_rows(&mut daemon);
    read_configuration(&mut daemon, "config", 2);
    assert_eq!(shared_rows(&mut daemon), ["config"]);
    read_configuration(&mut daemon, CONFIGURATION_WITH_TEAMS, 3);
    assert_eq!(shared_rows(&mut daemon), Vec::<String>::new());
    let version = |daemon: &Daemon| daemon.view.load().ingress.as_ref().map(|view| view.version());
    assert_eq!(version(&daemon), Some(3));
    // Teams that are removed leave no keys in the new version.
    read_configuration(&mut daemon, "config", 4);
    assert_eq!(shared_rows(&mut daemon), ["config"]);
}
