//! Rows and differences as text.

use std::fmt::Write;

use jasminetack_domain::table;
use jasminetack_wire::row;

/// Digits of a key hash that are shown.
const HASH_DIGITS: usize = 12;

/// Writes a row on one line, in the form of assignments.
#[must_use]
pub fn row_line(row: &table::Row) -> String {
    let mut fields = Vec::new();
    match row {
        table::Row::Adapter(row) => {
            fields.push(format!("team={}", row.team));
            fields.push(format!("base-model={}", row.base_model));
            fields.push(format!("versions={}", join(row.versions.iter())));
        }
        table::Row::Team(row) => {
            fields.push(format!("keys={}", join(row.key_hashes.iter().map(key_hash))));
        }
        table::Row::Service(row) => {
            fields.push(format!("repeatable={}", join(row.repeatable.iter().map(call))));
        }
    }
    let limits = row.limits();
    fields.push(format!("weight={}", limits.weight));
    fields.push(format!("ceiling={}", ceiling(limits.ceiling)));
    fields.push(format!("share={}", limits.share));
    fields.push(format!("class={}", limits.class.as_str()));
    fields.join(" ")
}

/// Writes what an edit changes: the key, then one line for each difference.
#[must_use]
pub fn edit(edit: &table::Edit) -> String {
    let mut text = edit.key().to_string();
    // Writing to a string does not fail.
    let _ = match edit.expected_version() {
        Some(version) => writeln!(text, " (version {version})"),
        None => writeln!(text, " (new)"),
    };
    let differences = edit.differences();
    if differences.is_empty() {
        text.push_str("  no difference\n");
    }
    for found in &differences {
        let _ = writeln!(text, "  {}", difference(found));
    }
    text
}

/// Writes one difference on one line.
#[must_use]
pub fn difference(difference: &table::Difference) -> String {
    match difference {
        table::Difference::Created => "created".to_owned(),
        table::Difference::Deleted => "deleted".to_owned(),
        table::Difference::Weight(change) => changed("weight", change, u32::to_string),
        table::Difference::Ceiling(change) => changed("ceiling", change, |value| ceiling(*value)),
        table::Difference::Share(change) => changed("share", change, u32::to_string),
        table::Difference::Class(change) => {
            changed("class", change, |class| class.as_str().to_owned())
        }
        table::Difference::Team(change) => changed("team", change, ToString::to_string),
        table::Difference::BaseModel(change) => changed("base-model", change, ToString::to_string),
        table::Difference::VersionAdded(version) => format!("version {version} added"),
        table::Difference::VersionRemoved(version) => format!("version {version} removed"),
        table::Difference::DefaultVersion(change) => {
            changed("default", change, |version| match version {
                Some(version) => version.to_string(),
                None => "none".to_owned(),
            })
        }
        table::Difference::KeyAdded(hash) => format!("key {} added", key_hash(hash)),
        table::Difference::KeyRemoved(hash) => format!("key {} removed", key_hash(hash)),
        table::Difference::CallAdded(pattern) => format!("repeatable {} added", call(pattern)),
        table::Difference::CallRemoved(pattern) => format!("repeatable {} removed", call(pattern)),
    }
}

fn changed<Value, Format>(name: &str, change: &table::Change<Value>, format: Format) -> String
where
    Format: Fn(&Value) -> String,
{
    match &change.old {
        Some(old) => format!("{name}: {} -> {}", format(old), format(&change.new)),
        None => format!("{name}: {}", format(&change.new)),
    }
}

fn ceiling(ceiling: Option<u32>) -> String {
    ceiling.map_or_else(|| "none".to_owned(), |ceiling| ceiling.to_string())
}

fn key_hash(hash: &table::KeyHash) -> String {
    format!("sha256:{}", &row::encode_hash(hash)[..HASH_DIGITS])
}

fn call(pattern: &table::CallPattern) -> String {
    format!("{}:{}", pattern.method, pattern.path_prefix)
}

fn join<Items, Item>(items: Items) -> String
where
    Items: Iterator<Item = Item>,
    Item: ToString,
{
    items.map(|item| item.to_string()).collect::<Vec<_>>().join(",")
}
