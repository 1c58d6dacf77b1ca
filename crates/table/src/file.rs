//! Files of changes in TOML and CSV.

use std::fs;
use std::path::Path;

use jasminetack_domain::table;

use crate::assignment;
use crate::row_change;

const DELETE_FIELD: &str = "delete";

/// Why a file of changes cannot be used.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("{place}: {message}"))]
pub struct FileError {
    place: String,
    message: String,
}

/// Reads a file of changes.
///
/// # Errors
///
/// Fails when the file cannot be read or does not have the documented form.
pub fn read(path: &Path) -> Result<Vec<row_change::RowChange>, FileError> {
    let place = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| wrong(&place, error))?;
    match path.extension().and_then(|extension| extension.to_str()) {
        Some("toml") => parse_toml(&place, &text),
        Some("csv") => parse_csv(&place, &text),
        _ => Err(wrong(&place, "the name must end in .toml or .csv")),
    }
}

/// Reads TOML: a table `[KIND.NAME]` for each row, with one value for each field.
///
/// # Errors
///
/// Fails when the text is not TOML of this form.
pub fn parse_toml(place: &str, text: &str) -> Result<Vec<row_change::RowChange>, FileError> {
    let kinds: toml::Table = toml::from_str(text).map_err(|error| wrong(place, error))?;
    let mut changes = Vec::new();
    for (kind, rows) in &kinds {
        let toml::Value::Table(rows) = rows else {
            return Err(wrong(place, format!("{kind} is not a table; write [{kind}.NAME]")));
        };
        for (name, fields) in rows {
            let place = format!("{place}: [{kind}.{name}]");
            let toml::Value::Table(fields) = fields else {
                return Err(wrong(&place, "this is not a table of fields"));
            };
            let mut values = Vec::new();
            for (field, value) in fields {
                values.push((field.clone(), toml_text(value)));
            }
            changes.push(change(&place, &format!("{kind}/{name}"), values)?);
        }
    }
    Ok(changes)
}

/// Reads CSV: the columns `kind` and `name`, and one column for each field; empty cells are left
/// out.
///
/// # Errors
///
/// Fails when the text is not CSV of this form.
pub fn parse_csv(place: &str, text: &str) -> Result<Vec<row_change::RowChange>, FileError> {
    let mut reader = csv::ReaderBuilder::new().trim(csv::Trim::All).from_reader(text.as_bytes());
    let header = reader.headers().map_err(|error| wrong(place, error))?.clone();
    let column = |name: &str| {
        let index = header.iter().position(|column| column == name);
        index.ok_or_else(|| wrong(place, format!("there is no column {name:?}")))
    };
    let (kind_column, name_column) = (column("kind")?, column("name")?);
    let mut changes = Vec::new();
    for record in reader.records() {
        let record = record.map_err(|error| wrong(place, error))?;
        let line = record.position().map_or(0, csv::Position::line);
        let mut values = Vec::new();
        for (index, value) in record.iter().enumerate() {
            if index == kind_column || index == name_column || value.is_empty() {
                continue;
            }
            values.push((header[index].to_owned(), value.to_owned()));
        }
        let key = format!("{}/{}", &record[kind_column], &record[name_column]);
        changes.push(change(&format!("{place}: line {line}"), &key, values)?);
    }
    Ok(changes)
}

fn change(
    place: &str,
    key: &str,
    values: Vec<(String, String)>,
) -> Result<row_change::RowChange, FileError> {
    let key = table::RowKey::parse(key).ok_or_else(|| {
        wrong(place, format!("{key:?} is not adapter/NAME, team/NAME or service/NAME"))
    })?;
    let mut assignments = Vec::new();
    let mut delete = false;
    for (field, value) in values {
        if field != DELETE_FIELD {
            assignments.push(assignment::Assignment { field, value });
            continue;
        }
        delete = match value.as_str() {
            "true" => true,
            "false" => false,
            _ => return Err(wrong(place, format!("delete is {value:?}; give true or false"))),
        };
    }
    if delete && !assignments.is_empty() {
        return Err(wrong(place, "a row that is deleted has no other fields"));
    }
    let action =
        if delete { row_change::Action::Delete } else { row_change::Action::Assign(assignments) };
    Ok(row_change::RowChange { key, action })
}

fn toml_text(value: &toml::Value) -> String {
    match value {
        toml::Value::String(text) => text.clone(),
        toml::Value::Array(items) => items.iter().map(toml_text).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

fn wrong<Message>(place: &str, message: Message) -> FileError
where
    Message: ToString,
{
    FileError { place: place.to_owned(), message: message.to_string() }
}
