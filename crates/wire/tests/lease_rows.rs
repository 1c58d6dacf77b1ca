//! Tests of the encoding of sessions and owners.

use std::net::SocketAddr;

use jasminetack_domain::adapter;
use jasminetack_domain::lease;
use jasminetack_domain::locality;
use jasminetack_domain::name;
use jasminetack_wire::platform;
use jasminetack_wire::spread;

fn holder(host: &str) -> lease::Holder {
    lease::Holder { host: name::HostName::from(host), incarnation: lease::Incarnation::new(7) }
}

fn session() -> lease::SessionRow {
    lease::SessionRow {
        host: name::HostName::from("a"),
        incarnation: lease::Incarnation::new(7),
        state: lease::SessionState::Leaving,
        renewals: 4,
        table_version: 12,
        host_incarnation: 3,
        place: locality::Locality::new(
            name::RegionName::from("north"),
            name::FailureDomainName::from("b"),
        ),
        peers_address: SocketAddr::from(([127, 0, 0, 1], 4_000)),
        ops_address: Some(SocketAddr::from(([127, 0, 0, 1], 4_001))),
    }
}

fn owner() -> lease::OwnerRow {
    lease::OwnerRow {
        worker: name::WorkerName::from("w1"),
        holder: holder("b"),
        fencing: adapter::FencingToken::new(2),
        former_owners: vec![lease::FormerOwner {
            fencing: adapter::FencingToken::new(1),
            holder: holder("a"),
            host_incarnation: 3,
        }],
    }
}

fn written(transaction: platform::Transaction) -> platform::StoredRow {
    let [write] = &transaction.writes[..] else { panic!("not one write: {transaction:?}") };
    platform::StoredRow { key: write.key.clone(), version: 9, value: write.value.clone() }
}

/// Guards against a field that is lost on the way through the table service.
#[test]
fn rows_survive_the_table_service() {
    let write = lease::SessionWrite { expected_version: None, row: session() };
    let stored = written(platform::Transaction::from(&write));
    assert_eq!(lease::Stored::try_from(stored).unwrap(), lease::Stored::new(9, session()));
    let host = name::HostName::from("a");
    let claim = lease::OwnerChange {
        expected_version: Some(3),
        session_condition: Some((host, 8)),
        row: owner(),
    };
    let transaction = platform::Transaction::from(&claim);
    assert_eq!(transaction.conditions.len(), 2);
    let stored = written(transaction);
    assert_eq!(lease::Stored::try_from(stored).unwrap(), lease::Stored::new(9, owner()));
    let fencing = adapter::FencingToken::new(2);
    let row = lease::ReleasedRow { worker: owner().worker, fencing, holder: holder("b") };
    let stored = written(platform::Transaction::from(&row));
    assert_eq!(lease::ReleasedRow::try_from(stored).unwrap(), row);
}

/// Guards against a field that is lost on the way through gossip; counters are left out on purpose.
#[test]
fn states_survive_gossip() {
    let row = lease::SessionRow { renewals: 0, table_version: 0, ops_address: None, ..session() };
    let state = spread::SessionState::from(&session());
    assert_eq!(lease::SessionRow::try_from(state).unwrap(), row);
    assert_eq!(lease::OwnerRow::from(spread::OwnerState::from(&owner())), owner());
}
