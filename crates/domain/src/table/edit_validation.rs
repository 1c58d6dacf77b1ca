//! Validation of edits.

use indexmap::{IndexMap, IndexSet};

use super::{
    AdapterRow, Edit, EditError, EditErrorKind, KeyHash, Limits, Row, RowKey, RowKind, Table,
};
use crate::name;

const MAX_NAME_BYTES: usize = 128;
const MAX_WEIGHT_OR_SHARE: u32 = 10_000;
const MAX_CEILING: u32 = 1_000_000;

/// Returns the rules that an edit violates by itself.
pub fn validate_row(edit: &Edit) -> Vec<EditErrorKind> {
    let mut violations = Vec::new();
    if !is_valid_name(edit.key().name()) {
        violations.push(EditErrorKind::Name);
    }
    let Some(row) = edit.new_row() else {
        if edit.old().is_none() {
            violations.push(EditErrorKind::NothingToDelete);
        }
        return violations;
    };
    validate_limits(row.limits(), &mut violations);
    match (edit.key().kind(), row) {
        (RowKind::Adapter, Row::Adapter(new)) => {
            let old = match edit.old() {
                Some(Row::Adapter(old)) => Some(old),
                _ => None,
            };
            validate_adapter(old, new, &mut violations);
        }
        (RowKind::Team, Row::Team(_)) => {}
        (RowKind::Service, Row::Service(service)) => {
            for pattern in &service.repeatable {
                let method = &pattern.method;
                let is_valid_method = method == "*"
                    || !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
                if is_valid_method && pattern.path_prefix.starts_with('/') {
                    continue;
                }
                let path_prefix = pattern.path_prefix.clone();
                violations.push(EditErrorKind::Call { method: method.clone(), path_prefix });
            }
        }
        _ => violations.push(EditErrorKind::Kind),
    }
    violations
}

/// Validates the edits together, against the table as it is after all of them.
pub fn validate_set(table: &Table, edits: &[Edit], errors: &mut Vec<EditError>) {
    let mut seen = IndexSet::new();
    for edit in edits {
        if !seen.insert(edit.key()) {
            errors.push(EditError { key: edit.key().clone(), kind: EditErrorKind::Duplicate });
        }
    }
    let rows = rows_after_edits(table, edits);
    let key_owners = key_owners(&rows);
    for edit in edits {
        let key = edit.key();
        let to_error = |kind| EditError { key: key.clone(), kind };
        match edit.new_row() {
            Some(Row::Adapter(row)) => {
                let team = RowKey::new(RowKind::Team, row.team.as_str());
                if !team.name().is_empty() && !rows.contains_key(&team) {
                    errors.push(to_error(EditErrorKind::UnknownTeam { team: row.team.clone() }));
                }
            }
            Some(Row::Team(row)) => {
                let violations = validate_keys(&key_owners, key.name(), &row.key_hashes);
                errors.extend(violations.into_iter().map(to_error));
            }
            Some(Row::Service(_)) => {}
            None if key.kind() == RowKind::Team => {
                if let Some(adapter) = any_adapter_of(&rows, key.name()) {
                    errors.push(to_error(EditErrorKind::TeamInUse { adapter }));
                }
            }
            None => {}
        }
    }
}

fn validate_limits(limits: &Limits, violations: &mut Vec<EditErrorKind>) {
    let Limits { weight, ceiling, share, class: _ } = *limits;
    if !(1..=MAX_WEIGHT_OR_SHARE).contains(&weight) {
        violations.push(EditErrorKind::Weight { weight });
    }
    // A ceiling of 0 could not be enforced: a daemon that cannot reach the quota server of the
    // row admits at least one request.
    if let Some(ceiling) = ceiling
        && !(1..=MAX_CEILING).contains(&ceiling)
    {
        violations.push(EditErrorKind::Ceiling { ceiling });
    }
    if !(1..=MAX_WEIGHT_OR_SHARE).contains(&share) {
        violations.push(EditErrorKind::Share { share });
    }
}

fn validate_adapter(
    old: Option<&AdapterRow>,
    new: &AdapterRow,
    violations: &mut Vec<EditErrorKind>,
) {
    if new.team.as_str().is_empty() {
        violations.push(EditErrorKind::Team);
    }
    if new.base_model.as_str().is_empty() {
        violations.push(EditErrorKind::BaseModel);
    }
    let mut seen = IndexSet::new();
    for version in &new.versions {
        if *version == 0 || !seen.insert(*version) {
            violations.push(EditErrorKind::Version { version: *version });
        }
    }
    if let Some((_, before_default)) = new.versions.split_last()
        && !before_default.is_sorted()
    {
        violations.push(EditErrorKind::VersionOrder);
    }
    let Some(old) = old else { return };
    let highest = old.versions.iter().copied().max().unwrap_or(0);
    for version in &new.versions {
        if *version < highest && !old.versions.contains(version) {
            violations.push(EditErrorKind::VersionNotHigher { version: *version, highest });
        }
    }
    for version in &old.versions {
        if !new.versions.contains(version) {
            violations.push(EditErrorKind::VersionRemoved { version: *version });
        }
    }
}

fn is_valid_name(name: &str) -> bool {
    let valid_byte = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(valid_byte)
}

fn rows_after_edits<'a>(table: &'a Table, edits: &'a [Edit]) -> IndexMap<&'a RowKey, &'a Row> {
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

fn validate_keys(
    key_owners: &IndexMap<KeyHash, Vec<name::TeamName>>,
    team: &str,
    key_hashes: &[KeyHash],
) -> Vec<EditErrorKind> {
    let mut violations = Vec::new();
    let mut seen = IndexSet::new();
    for hash in key_hashes {
        if !seen.insert(hash) {
            violations.push(EditErrorKind::KeyInUse { team: name::TeamName::from(team) });
            continue;
        }
        let mut owners = key_owners.get(hash).into_iter().flatten();
        if let Some(other) = owners.find(|owner| owner.as_str() != team) {
            violations.push(EditErrorKind::KeyInUse { team: other.clone() });
        }
    }
    violations
}

fn any_adapter_of(rows: &IndexMap<&RowKey, &Row>, team: &str) -> Option<name::AdapterName> {
    for (key, row) in rows {
        if let Row::Adapter(row) = row
            && row.team.as_str() == team
        {
            return Some(name::AdapterName::from(key.name()));
        }
    }
    None
}
