//! Tests of the validation of edits.

use jasminetack_domain::name;
use jasminetack_domain::table;

fn adapter(team: &str, versions: &[u32]) -> table::Row {
    table::Row::Adapter(table::AdapterRow {
        team: name::TeamName::from(team),
        base_model: name::BaseModelName::from("base"),
        versions: versions.to_vec(),
        limits: table::Limits::default(),
    })
}

fn team(keys: &[u8]) -> table::Row {
    let key_hashes = keys.iter().map(|key| table::KeyHash::new([*key; 32])).collect();
    table::Row::Team(table::TeamRow { key_hashes, limits: table::Limits::default() })
}

fn key(text: &str) -> table::RowKey {
    table::RowKey::parse(text).expect("valid row key")
}

fn snapshot() -> table::Table {
    let mut snapshot = table::Table::default();
    snapshot.apply(key("team/desk"), 1, Some(team(&[1])));
    snapshot.apply(key("adapter/offer"), 2, Some(adapter("desk", &[1, 3])));
    snapshot
}

fn error_kinds(edits: &[(&str, Option<table::Row>)]) -> Vec<table::EditErrorKind> {
    let snapshot = snapshot();
    let mut set = Vec::new();
    for (text, row) in edits {
        set.push(table::Edit::new(&snapshot, key(text), row.clone()));
    }
    let errors = table::check_edits(&snapshot, &set).err().unwrap_or_default();
    errors.into_iter().map(|error| error.kind).collect()
}

/// Guards against removing a version that requests in flight use, and against reuse of a version
/// number.
#[test]
fn versions_only_grow_while_the_default_moves() {
    let offer =
        |versions: &[u32]| error_kinds(&[("adapter/offer", Some(adapter("desk", versions)))]);
    assert_eq!(offer(&[1, 3, 4]), []);
    assert_eq!(offer(&[3, 1]), [], "the default moves back to 1");
    assert_eq!(offer(&[3]), [table::EditErrorKind::VersionRemoved { version: 1 }]);
    let not_higher = table::EditErrorKind::VersionNotHigher { version: 2, highest: 3 };
    assert_eq!(offer(&[1, 2, 3]), [not_higher]);
    assert_eq!(offer(&[3, 1, 4]), [table::EditErrorKind::VersionOrder]);
    assert_eq!(offer(&[1, 3, 3]), [table::EditErrorKind::Version { version: 3 }]);
}

/// Guards against a set of edits that leaves an adapter without its team; the order of edits within
/// the set does not matter.
#[test]
fn teams_are_validated_after_the_whole_set() {
    let clip = ("adapter/clip", Some(adapter("cue", &[1])));
    let team_name = name::TeamName::from("cue");
    assert_eq!(
        error_kinds(std::slice::from_ref(&clip)),
        [table::EditErrorKind::UnknownTeam { team: team_name }]
    );
    assert_eq!(error_kinds(&[clip, ("team/cue", Some(team(&[])))]), []);
    let adapter = name::AdapterName::from("offer");
    assert_eq!(error_kinds(&[("team/desk", None)]), [table::EditErrorKind::TeamInUse { adapter }]);
    assert_eq!(error_kinds(&[("team/desk", None), ("adapter/offer", None)]), []);
}

/// Guards against one bearer key that authenticates two teams, and against two edits of one row.
#[test]
fn keys_and_rows_are_unique() {
    let desk = name::TeamName::from("desk");
    assert_eq!(
        error_kinds(&[("team/cue", Some(team(&[1])))]),
        [table::EditErrorKind::KeyInUse { team: desk }]
    );
    let edit = ("team/cue", Some(team(&[2])));
    assert_eq!(error_kinds(&[edit.clone(), edit]), [table::EditErrorKind::Duplicate]);
}

/// Guards against limits out of range, which would block a row or let it take all capacity.
#[test]
fn limits_are_in_range() {
    let mut row = team(&[]);
    if let table::Row::Team(row) = &mut row {
        row.limits.weight = 0;
        row.limits.ceiling = Some(0);
        row.limits.share = 10_001;
    }
    let expected = [
        table::EditErrorKind::Weight { weight: 0 },
        table::EditErrorKind::Ceiling { ceiling: 0 },
        table::EditErrorKind::Share { share: 10_001 },
    ];
    assert_eq!(error_kinds(&[("team/cue", Some(row.clone()))]), expected);
    assert_eq!(
        error_kinds(&[("adapter/cue", Some(row))]).last(),
        Some(&table::EditErrorKind::Kind)
    );
}

/// Guards against a change of the default version that is displayed as an added or removed version.
#[test]
fn differences_report_a_moved_default_version() {
    let edit = table::Edit::new(&snapshot(), key("adapter/offer"), Some(adapter("desk", &[3, 1])));
    let change = table::Change { old: Some(Some(3)), new: Some(1) };
    assert_eq!(edit.differences(), [table::Difference::DefaultVersion(change)]);
    assert_eq!(edit.expected_version(), Some(2));
    assert_eq!(edit.required_team(), None);
}
