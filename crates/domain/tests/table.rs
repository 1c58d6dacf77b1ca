//! Tests of the snapshot of the table.

use jasminetack_domain::name;
use jasminetack_domain::table;

fn adapter_row(versions: &[u32]) -> table::Row {
    table::Row::Adapter(table::AdapterRow {
        team: name::TeamName::from("desk"),
        base_model: name::BaseModelName::from("base"),
        versions: versions.to_vec(),
        limits: table::Limits::default(),
    })
}

/// Guards against an outdated snapshot, from a peer or after a restart, that overwrites a newer row or
/// restores a deleted one.
#[test]
fn older_row_does_not_replace_newer_row() {
    let mut snapshot = table::Table::default();
    let key = table::RowKey::new(table::RowKind::Adapter, "offer-da");
    assert_eq!(
        snapshot.apply(key.clone(), 5, Some(adapter_row(&[2]))),
        table::ApplyResult::Applied
    );
    assert_eq!(snapshot.apply(key.clone(), 4, Some(adapter_row(&[1]))), table::ApplyResult::Stale);
    assert_eq!(snapshot.resolve("offer-da").unwrap().0.version(), 2);
    assert_eq!(snapshot.apply(key.clone(), 6, None), table::ApplyResult::Applied);
    assert_eq!(snapshot.apply(key, 5, Some(adapter_row(&[2]))), table::ApplyResult::Stale);
    assert!(snapshot.resolve("offer-da").is_err());
}

/// Guards against serving a request with a version that the row does not list.
#[test]
fn version_not_listed_by_the_row_is_rejected() {
    let mut snapshot = table::Table::default();
    let key = table::RowKey::new(table::RowKind::Adapter, "offer-da");
    snapshot.apply(key, 1, Some(adapter_row(&[1, 3])));
    assert_eq!(snapshot.resolve("offer-da").unwrap().0.version(), 3);
    assert_eq!(snapshot.resolve("offer-da@1").unwrap().0.version(), 1);
    assert!(matches!(
        snapshot.resolve("offer-da@2"),
        Err(table::ResolveError::UnknownVersion { version: 2, .. })
    ));
}
