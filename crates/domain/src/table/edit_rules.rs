//! Rules that edits are checked against.

use indexmap::{IndexMap, IndexSet};

use super::{
    AdapterRow, Edit, EditProblem, EditRule, KeyHash, Limits, Row, RowKey, RowKind, Table,
};
use crate::name;

const MAX_NAME_BYTES: usize = 128;
const MAX_RELATIVE: u32 = 10_000;
const MAX_CEILING: u32 = 1_000_000;

/// Lists the rules that one edit breaks by itself.
pub fn row_rules(edit: &Edit) -> Vec<EditRule> {
    let mut broken = Vec::new();
    if !is_valid_name(edit.key().name()) {
        broken.push(EditRule::Name);
    }
    let Some(row) = edit.new_row() else {
        if edit.old().is_none() {
            broken.push(EditRule::NothingToDelete);
        }
        return broken;
    };
    limits(row.limits(), &mut broken);
    match (edit.key().kind(), row) {
        (RowKind::Adapter, Row::Adapter(new)) => {
            let old = match edit.old() {
                Some(Row::Adapter(old)) => Some(old),
                _ => None,
            };
            adapter(old, new, &mut broken);
        }
        (RowKind::Team, Row::Team(_)) => {}
        (RowKind::Service, Row::Service(service)) => {
            for pattern in &service.repeatable {
                let method = &pattern.method;
                let known_method = method == "*"
                    || !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
                if known_method && pattern.path_prefix.starts_with('/') {
                    continue;
                }
                let path_prefix = pattern.path_prefix.clone();
                broken.push(EditRule::Call { method: method.clone(), path_prefix });
            }
        }
        _ => broken.push(EditRule::Kind),
    }
    broken
}

/// Lists the rules that edits break together.
pub fn set_rules(table: &Table, edits: &[Edit], problems: &mut Vec<EditProblem>) {
    let mut seen = IndexSet::new();
    for edit in edits {
        if !seen.insert(edit.key()) {
            problems.push(EditProblem { key: edit.key().clone(), rule: EditRule::Duplicate });
        }
    }
    let rows = rows_after(table, edits);
    let key_owners = key_owners(&rows);
    for edit in edits {
        let key = edit.key();
        let report = |rule| EditProblem { key: key.clone(), rule };
        match edit.new_row() {
            Some(Row::Adapter(row)) => {
                let team = RowKey::new(RowKind::Team, row.team.as_str());
                if !team.name().is_empty() && !rows.contains_key(&team) {
                    problems.push(report(EditRule::UnknownTeam { team: row.team.clone() }));
                }
            }
            Some(Row::Team(row)) => {
                let rules = key_rules(&key_owners, key.name(), &row.key_hashes);
                problems.extend(rules.into_iter().map(report));
            }
            Some(Row::Service(_)) => {}
            None if key.kind() == RowKind::Team => {
                if let Some(adapter) = adapter_of(&rows, key.name()) {
                    problems.push(report(EditRule::TeamInUse { adapter }));
                }
            }
            None => {}
        }
    }
}

fn limits(limits: &Limits, broken: &mut Vec<EditRule>) {
    let Limits { weight, ceiling, share, class: _ } = *limits;
    if !(1..=MAX_RELATIVE).contains(&weight) {
        broken.push(EditRule::Weight { weight });
    }
    // A ceiling of 0 would be raised to 1 while the home of the row cannot be reached.
    if let Some(ceiling) = ceiling
        && !(1..=MAX_CEILING).contains(&ceiling)
    {
        broken.push(EditRule::Ceiling { ceiling });
    }
    if !(1..=MAX_RELATIVE).contains(&share) {
        broken.push(EditRule::Share { share });
    }
}

fn adapter(old: Option<&AdapterRow>, new: &AdapterRow, broken: &mut Vec<EditRule>) {
    if new.team.as_str().is_empty() {
        broken.push(EditRule::Team);
    }
    if new.base_model.as_str().is_empty() {
        broken.push(EditRule::BaseModel);
    }
    let mut seen = IndexSet::new();
    for version in &new.versions {
        if *version == 0 || !seen.insert(*version) {
            broken.push(EditRule::Version { version: *version });
        }
    }
    if let Some((_, before_default)) = new.versions.split_last()
        && !before_default.is_sorted()
    {
        broken.push(EditRule::VersionOrder);
    }
    let Some(old) = old else { return };
    let highest = old.versions.iter().copied().max().unwrap_or(0);
    for version in &new.versions {
        if *version < highest && !old.versions.contains(version) {
            broken.push(EditRule::VersionNotHigher { version: *version, highest });
        }
    }
    for version in &old.versions {
        if !new.versions.contains(version) {
            broken.push(EditRule::VersionRemoved { version: *version });
        }
    }
}

fn is_valid_name(name: &str) -> bool {
    let valid_byte = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(valid_byte)
}

fn rows_after<'a>(table: &'a Table, edits: &'a [Edit]) -> IndexMap<&'a RowKey, &'a Row> {
    let mut rows = IndexMap::new();
    for (key, _, row) in table.entries() {
        if let Some(row) = row {
            rows.insert(key, row.as_ref());
        }
    }
    for edit in edits {
        match edit.new_row() {
            Some(row) => {
                rows.insert(edit.key(), row);
            }
            None => {
                rows.swap_remove(edit.key());
            }
        }
    }
    rows
}

fn key_owners(rows: &IndexMap<&RowKey, &Row>) -> IndexMap<KeyHash, Vec<name::TeamName>> {
    let mut owners = IndexMap::<KeyHash, Vec<name::TeamName>>::new();
    for (key, row) in rows {
        let Row::Team(row) = row else { continue };
        for hash in &row.key_hashes {
            owners.entry(*hash).or_default().push(name::TeamName::from(key.name()));
        }
    }
    owners
}

fn key_rules(
    key_owners: &IndexMap<KeyHash, Vec<name::TeamName>>,
    team: &str,
    key_hashes: &[KeyHash],
) -> Vec<EditRule> {
    let mut broken = Vec::new();
    let mut seen = IndexSet::new();
    for hash in key_hashes {
        if !seen.insert(hash) {
            broken.push(EditRule::KeyInUse { team: name::TeamName::from(team) });
            continue;
        }
        let mut owners = key_owners.get(hash).into_iter().flatten();
        if let Some(other) = owners.find(|owner| owner.as_str() != team) {
            broken.push(EditRule::KeyInUse { team: other.clone() });
        }
    }
    broken
}

fn adapter_of(rows: &IndexMap<&RowKey, &Row>, team: &str) -> Option<name::AdapterName> {
    for (key, row) in rows {
        if let Row::Adapter(row) = row
            && row.team.as_str() == team
        {
            return Some(name::AdapterName::from(key.name()));
        }
    }
    None
}
