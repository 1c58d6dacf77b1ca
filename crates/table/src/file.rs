//! Parsing of TOML and CSV files of row changes.

use std::fs;
use std::path::Path;

use jasminetack_domain::table;

use crate::assignment;
use crate::row_change;

const DELETE_FIELD: &str = "delete";

/// Error of reading or parsing a file of row changes.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("{location}: {message}"))]
pub struct FileError {
    /// File, and the table or line in it.
    location: String,
    message: String,
}

/// Reads a TOML or CSV file of row changes.
///
/// # Errors
///
/// Fails when the file cannot be read or is malformed.
pub fn read(path: &Path) -> Result<Vec<row_change::RowChange>, FileError> {
    let location = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| error_at(&location, error))?;
    match path.extension().and_then(|extension| extension.to_str()) {
        Some("toml") => parse_toml(&location, &text),
        Some("csv") => parse_csv(&location, &text),
        _ => Err(error_at(&location, "the name must end in .toml or .csv")),
    }
}

/// Parses TOML: a table `[KIND.NAME]` for each row, with one value for each field.
///
/// # Errors
///
/// Fails when the text is not valid TOML of this form.
pub fn parse_toml(location: &str, text: &str) -> Result<Vec<row_change::RowChange>, FileError> {
    let kinds: toml::Table = toml::from_str(text).map_err(|error| error_at(location, error))?;
    let mut changes = Vec::new();
    for (kind, rows) in &kinds {
        let toml::Value::Table(rows) = rows else {
            return Err(error_at(location, format!("{kind} is not a table; write [{kind}.NAME]")));
        };
        for (name, fields) in rows {
            let location = format!("{location}: [{kind}.{name}]");
            let toml::Value::Table(fields) = fields else {
                return Err(error_at(&location, "this is not a table of fields"));
            };
            let mut values = Vec::new();
            for (field, value) in fields {
                values.push((field.clone(), toml_value_text(value)));
            }
            changes.push(parse_change(&location, &format!("{kind}/{name}"), values)?);
        }
    }
    Ok(changes)
}

/// Parses CSV: the columns `kind` and `name`, and one column for each field.
///
/// Empty cells are ignored.
///
/// # Errors
///
/// Fails when the text is not valid CSV of this form.
pub fn parse_csv(location: &str, text: &str) -> Result<Vec<row_change::RowChange>, FileError> {
    let mut reader = csv::ReaderBuilder::new().trim(csv::Trim::All).from_reader(text.as_bytes());
    let header = reader.headers().map_err(|error| error_at(location, error))?.clone();
    let column = |name: &str| {
        let index = header.iter().position(|column| column == name);
        index.ok_or_else(|| error_at(location, format!("there is no column {name:?}")))
    };
    let (kind_column, name_column) = (column("kind")?, column("name")?);
    let mut changes = Vec::new();
    for record in reader.records() {
        let record = record.map_err(|error| error_at(location, error))?;
        let line = record.position().map_or(0, csv::Position::line);
        let mut values = Vec::new();
        for (index, value) in record.iter().enumerate() {
            if index == kind_column || index == name_column || value.is_empty() {
                continue;
            }
            values.push((header[index].to_owned(), value.to_owned()));
        }
        let key = format!("{}/{}", &record[kind_column], &record[name_column]);
        changes.push(parse_change(&format!("{location}: line {line}"), &key, values)?);
    }
    Ok(changes)
}

fn parse_change(
    location: &str,
    key: &str,
    values: Vec<(String, String)>,
) -> Result<row_change::RowChange, FileError> {
    let key = table::RowKey::parse(key).ok_or_else(|| {
        error_at(location, format!("{key:?} is not adapter/NAME, team/NAME or service/NAME"))
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
            _ => {
                return Err(error_at(location, format!("delete is {value:?}; give true or false")));
            }
        };
    }
    if delete && !assignments.is_empty() {
        return Err(error_at(location, "a row that is deleted has no other fields"));
    }
    let action =
        if delete { row_change::Action::Delete } else { row_change::Action::Assign(assignments) };
    Ok(row_change::RowChange { key, action })
}

fn toml_value_text(value: &toml::Value) -> String {
    match value {
        toml::Value::String(text) => text.clone(),
        toml::Value::Array(items) => {
            items.iter().map(toml_value_text).collect::<Vec<_>>().join(",")
        }
        other => other.to_string(),
    }
}

fn error_at<Message>(location: &str, message: Message) -> FileError
where
    Message: ToString,
{
    FileError { location: location.to_owned(), message: message.to_string() }
}
