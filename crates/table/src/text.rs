//! Text formatting of rows and differences.

use std::fmt::Write;

use jasminetack_domain::table;
use jasminetack_wire::row;

/// Number of hexadecimal digits shown of a key hash.
const SHOWN_HASH_DIGITS: usize = 12;

/// Formats a row on one line as `FIELD=VALUE` assignments.
#[must_use]
pub fn format_row(row: &table::Row) -> String {
    let mut fields = Vec::new();
    match row {
        table::Row::Adapter(row) => {
            fields.push(format!("team={}", row.team));
            fields.push(format!("base-model={}", row.base_model));
            fields.push(format!("versions={}", join_with_commas(row.versions.iter())));
        }
        table::Row::Team(row) => {
            fields.push(format!(
                "keys={}",
                join_with_commas(row.key_hashes.iter().map(format_key_hash))
            ));
        }
        table::Row::Service(row) => {
            fields.push(format!(
                "repeatable={}",
                join_with_commas(row.repeatable.iter().map(format_call_pattern))
            ));
        }
    }
    let limits = row.limits();
    fields.push(format!("weight={}", limits.weight));
    fields.push(format!("ceiling={}", format_ceiling(limits.ceiling)));
    fields.push(format!("share={}", limits.share));
    fields.push(format!("class={}", limits.class.as_str()));
    fields.join(" ")
}

/// Formats an edit: its key, then one line per difference.
#[must_use]
pub fn format_edit(edit: &table::Edit) -> String {
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
    for difference in &differences {
        let _ = writeln!(text, "  {}", format_difference(difference));
    }
    text
}

/// Formats a difference on one line.
#[must_use]
pub fn format_difference(difference: &table::Difference) -> String {
    match difference {
        table::Difference::Created => "created".to_owned(),
        table::Difference::Deleted => "deleted".to_owned(),
        table::Difference::Weight(change) => format_change("weight", change, u32::to_string),
        table::Difference::Ceiling(change) => {
            format_change("ceiling", change, |value| format_ceiling(*value))
        }
        table::Difference::Share(change) => format_change("share", change, u32::to_string),
        table::Difference::Class(change) => {
            format_change("class", change, |class| class.as_str().to_owned())
        }
        table::Difference::Team(change) => format_change("team", change, ToString::to_string),
        table::Difference::BaseModel(change) => {
            format_change("base-model", change, ToString::to_string)
        }
        table::Difference::VersionAdded(version) => format!("version {version} added"),
        table::Difference::VersionRemoved(version) => format!("version {version} removed"),
        table::Difference::DefaultVersion(change) => {
            format_change("default", change, |version| match version {
                Some(version) => version.to_string(),
                None => "none".to_owned(),
            })
        }
        table::Difference::KeyAdded(hash) => format!("key {} added", format_key_hash(hash)),
        table::Difference::KeyRemoved(hash) => format!("key {} removed", format_key_hash(hash)),
        table::Difference::CallAdded(pattern) => {
            format!("repeatable {} added", format_call_pattern(pattern))
        }
        table::Difference::CallRemoved(pattern) => {
            format!("repeatable {} removed", format_call_pattern(pattern))
        }
    }
}

fn format_change<Value, Format>(name: &str, change: &table::Change<Value>, format: Format) -> String
where
    Format: Fn(&Value) -> String,
{
    match &change.old {
        Some(old) => format!("{name}: {} -> {}", format(old), format(&change.new)),
        None => format!("{name}: {}", format(&change.new)),
    }
}

fn format_ceiling(ceiling: Option<u32>) -> String {
    ceiling.map_or_else(|| "none".to_owned(), |ceiling| ceiling.to_string())
}

fn format_key_hash(hash: &table::KeyHash) -> String {
    format!("sha256:{}", &row::encode_hash(hash)[..SHOWN_HASH_DIGITS])
}

fn format_call_pattern(pattern: &table::CallPattern) -> String {
    format!("{}:{}", pattern.method, pattern.path_prefix)
}

fn join_with_commas<Items, Item>(items: Items) -> String
where
    Items: Iterator<Item = Item>,
    Item: ToString,
{
    items.map(|item| item.to_string()).collect::<Vec<_>>().join(",")
}
