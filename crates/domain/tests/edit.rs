//! Tests of the rules for edits.

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
    table::RowKey::parse(text).expect("a key")
}

fn snapshot() -> table::Table {
    let mut snapshot = table::Table::default();
    snapshot.apply(key("team/desk"), 1, Some(team(&[1])));
    snapshot.apply(key("adapter/offer"), 2, Some(adapter("desk", &[1, 3])));
    snapshot
}

fn rules(edits: &[(&str, Option<table::Row>)]) -> Vec<table::EditRule> {
    let snapshot = snapshot();
    let mut set = Vec::new();
    for (text, row) in edits {
        set.push(table::Edit::new(&snapshot, key(text), row.clone()));
    }
    let problems = table::check_edits(&snapshot, &set).err().unwrap_or_default();
    problems.into_iter().map(|problem| problem.rule).collect()
}

/// Guards against a request in flight losing its version, and against a reused version number.
#[test]
fn versions_only_grow_while_the_default_moves() {
    let offer = |versions: &[u32]| rules(&[("adapter/offer", Some(adapter("desk", versions)))]);
    assert_eq!(offer(&[1, 3, 4]), []);
    assert_eq!(offer(&[3, 1]), [], "the default moves back to 1");
    assert_eq!(offer(&[3]), [table::EditRule::VersionRemoved { version: 1 }]);
    let not_higher = table::EditRule::VersionNotHigher { version: 2, highest: 3 };
    assert_eq!(offer(&[1, 2, 3]), [not_higher]);
    assert_eq!(offer(&[3, 1, 4]), [table::EditRule::VersionOrder]);
    assert_eq!(offer(&[1, 3, 3]), [table::EditRule::Version { version: 3 }]);
}

/// Guards against a set of edits that leaves an adapter without its team.
#[test]
fn teams_are_known_after_the_whole_set() {
    let clip = ("adapter/clip", Some(adapter("cue", &[1])));
    let team_name = name::TeamName::from("cue");
    assert_eq!(
        rules(std::slice::from_ref(&clip)),
        [table::EditRule::UnknownTeam { team: team_name }]
    );
    assert_eq!(rules(&[clip, ("team/cue", Some(team(&[])))]), []);
    let adapter = name::AdapterName::from("offer");
    assert_eq!(rules(&[("team/desk", None)]), [table::EditRule::TeamInUse { adapter }]);
    assert_eq!(rules(&[("team/desk", None), ("adapter/offer", None)]), []);
}

/// Guards against one bearer key opening two teams, and against a row that is edited twice.
#[test]
fn keys_and_rows_are_unique() {
    let desk = name::TeamName::from("desk");
    assert_eq!(
        rules(&[("team/cue", Some(team(&[1])))]),
        [table::EditRule::KeyInUse { team: desk }]
    );
    let edit = ("team/cue", Some(team(&[2])));
    assert_eq!(rules(&[edit.clone(), edit]), [table::EditRule::Duplicate]);
}

/// Guards against limits that would stop or flood the fleet.
#[test]
fn limits_are_in_range() {
    let mut row = team(&[]);
    if let table::Row::Team(row) = &mut row {
        row.limits.weight = 0;
        row.limits.ceiling = Some(0);
        row.limits.share = 10_001;
    }
    let expected = [
        table::EditRule::Weight { weight: 0 },
        table::EditRule::Ceiling { ceiling: 0 },
        table::EditRule::Share { share: 10_001 },
    ];
    assert_eq!(rules(&[("team/cue", Some(row.clone()))]), expected);
    assert_eq!(rules(&[("adapter/cue", Some(row))]).last(), Some(&table::EditRule::Kind));
}

/// Guards against an edit that is shown to the operator as something else than it is.
#[test]
fn differences_are_typed() {
    let edit = table::Edit::new(&snapshot(), key("adapter/offer"), Some(adapter("desk", &[3, 1])));
    let change = table::Change { old: Some(Some(3)), new: Some(1) };
    assert_eq!(edit.differences(), [table::Difference::DefaultVersion(change)]);
    assert_eq!(edit.expected_version(), Some(2));
    assert_eq!(edit.depends_on(), None);
}
