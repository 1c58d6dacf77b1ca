//! Parsing and applying of `FIELD=VALUE` assignments to table rows.

use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_domain::table;
use jasminetack_wire::row;
use sha2::Digest;
use snafu::{OptionExt, ensure};

/// Text value to assign to one field of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Name of the field.
    pub field: String,
    /// Value as text.
    pub value: String,
}

/// Error of parsing or applying an assignment.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum AssignError {
    /// The text has no `=`.
    #[snafu(display("{text:?} is not FIELD=VALUE"))]
    Syntax {
        /// Text that was given.
        text: String,
    },
    /// Rows of this kind have no such field.
    #[snafu(display("{kind} rows have no field {field:?}; see the fields in --help"))]
    Field {
        /// Kind of the row.
        kind: &'static str,
        /// Name of the field.
        field: String,
    },
    /// The value is invalid for the field.
    #[snafu(display("{field}={value:?} is not valid; give {allowed}"))]
    Value {
        /// Name of the field.
        field: String,
        /// Value that was given, or `(hidden)` for a secret.
        value: String,
        /// Description of the allowed values.
        allowed: &'static str,
    },
}

const ALLOWED_KEY_DIGITS: &str = "at least 8 digits of the hash of one key of the team";

impl Assignment {
    /// Parses `FIELD=VALUE`.
    ///
    /// # Errors
    ///
    /// Fails when the text has no `=`.
    pub fn parse(text: &str) -> Result<Self, AssignError> {
        let (field, value) = text.split_once('=').context(SyntaxSnafu { text })?;
        Ok(Self { field: field.to_owned(), value: value.to_owned() })
    }

    /// Applies the assignment to a row.
    ///
    /// # Errors
    ///
    /// Fails when the row has no such field or the value is invalid.
    pub fn assign(&self, row: &mut table::Row) -> Result<(), AssignError> {
        let is_known_field = match row {
            table::Row::Adapter(row) => {
                self.assign_adapter(row)? || self.assign_limit(&mut row.limits)?
            }
            table::Row::Team(row) => {
                self.assign_team(row)? || self.assign_limit(&mut row.limits)?
            }
            table::Row::Service(row) => {
                self.assign_service(row)? || self.assign_limit(&mut row.limits)?
            }
        };
        let kind = row_kind(row).as_str();
        ensure!(is_known_field, FieldSnafu { kind, field: &self.field });
        Ok(())
    }

    /// Sets a field of an adapter row; returns `false` if the row has no such field of its own.
    fn assign_adapter(&self, row: &mut table::AdapterRow) -> Result<bool, AssignError> {
        match self.field.as_str() {
            "team" => row.team = name::TeamName::from(self.value.as_str()),
            "base-model" => row.base_model = name::BaseModelName::from(self.value.as_str()),
            "versions" => {
                row.versions.clear();
                for version in self.list_items() {
                    row.versions.push(self.parse_number(version, "numbers from 1, such as 1,2,3")?);
                }
            }
            "add-version" => {
                row.versions.sort_unstable();
                row.versions.push(self.parse_number(&self.value, "a number above all versions")?);
            }
            "default" => {
                let version = self.parse_number(&self.value, "a version of the adapter")?;
                let known = row.versions.contains(&version);
                self.ensure(known, "a version of the adapter")?;
                row.versions.sort_unstable();
                row.versions.retain(|other| *other != version);
                row.versions.push(version);
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    fn assign_team(&self, row: &mut table::TeamRow) -> Result<bool, AssignError> {
        match self.field.as_str() {
            "add-key" => {
                let key = self.value.trim();
                self.ensure_secret(!key.is_empty(), "a key that is not empty")?;
                row.key_hashes
                    .push(table::KeyHash::new(sha2::Sha256::digest(key.as_bytes()).into()));
            }
            "remove-key" => {
                let digits = self.value.trim_start_matches("sha256:").to_ascii_lowercase();
                self.ensure(digits.len() >= 8, ALLOWED_KEY_DIGITS)?;
                let matches = |hash: &table::KeyHash| row::encode_hash(hash).starts_with(&digits);
                let found = row.key_hashes.iter().filter(|hash| matches(hash)).count();
                self.ensure(found == 1, ALLOWED_KEY_DIGITS)?;
                row.key_hashes.retain(|hash| !matches(hash));
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    fn assign_service(&self, row: &mut table::ServiceRow) -> Result<bool, AssignError> {
        match self.field.as_str() {
            "repeatable" => row.repeatable = self.parse_call_patterns()?,
            "add-repeatable" => {
                for pattern in self.parse_call_patterns()? {
                    if !row.repeatable.contains(&pattern) {
                        row.repeatable.push(pattern);
                    }
                }
            }
            "remove-repeatable" => {
                for pattern in self.parse_call_patterns()? {
                    let known = row.repeatable.contains(&pattern);
                    self.ensure(known, "calls that the row lists")?;
                    row.repeatable.retain(|other| *other != pattern);
                }
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    fn assign_limit(&self, limits: &mut table::Limits) -> Result<bool, AssignError> {
        match self.field.as_str() {
            "weight" => {
                limits.weight = self.parse_number(&self.value, "a number from 1 to 10000")?
            }
            "share" => limits.share = self.parse_number(&self.value, "a number from 1 to 10000")?,
            "ceiling" if self.value == "none" => limits.ceiling = None,
            "ceiling" => {
                limits.ceiling =
                    Some(self.parse_number(&self.value, "a number of requests, or none")?);
            }
            "class" => {
                let class = request::Class::parse(&self.value);
                limits.class =
                    class.with_context(|| self.invalid_value("urgent, normal or bulk"))?;
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    fn list_items(&self) -> impl Iterator<Item = &str> {
        self.value.split(',').map(str::trim).filter(|item| !item.is_empty())
    }

    fn parse_call_patterns(&self) -> Result<Vec<table::CallPattern>, AssignError> {
        let mut patterns = Vec::new();
        for item in self.list_items() {
            let (method, path_prefix) = item
                .split_once(':')
                .with_context(|| self.invalid_value("METHOD:/path, several separated by commas"))?;
            let (method, path_prefix) = (method.to_owned(), path_prefix.to_owned());
            patterns.push(table::CallPattern { method, path_prefix });
        }
        Ok(patterns)
    }

    fn parse_number(&self, text: &str, allowed: &'static str) -> Result<u32, AssignError> {
        text.parse().ok().with_context(|| self.invalid_value(allowed))
    }

    fn ensure(&self, condition: bool, allowed: &'static str) -> Result<(), AssignError> {
        if condition { Ok(()) } else { self.invalid_value(allowed).fail() }
    }

    /// Fails without showing the value, which is a secret.
    fn ensure_secret(&self, condition: bool, allowed: &'static str) -> Result<(), AssignError> {
        ensure!(condition, ValueSnafu { field: &self.field, value: "(hidden)", allowed });
        Ok(())
    }

    fn invalid_value(&self, allowed: &'static str) -> ValueSnafu<&str, &str, &'static str> {
        ValueSnafu { field: &self.field, value: &self.value, allowed }
    }
}

/// Returns a row of a kind with empty fields and default limits, the base of a new row.
#[must_use]
pub fn default_row(kind: table::RowKind) -> table::Row {
    let limits = table::Limits::default();
    match kind {
        table::RowKind::Adapter => table::Row::Adapter(table::AdapterRow {
            team: name::TeamName::from(""),
            base_model: name::BaseModelName::from(""),
            versions: Vec::new(),
            limits,
        }),
        table::RowKind::Team => table::Row::Team(table::TeamRow { key_hashes: Vec::new(), limits }),
        table::RowKind::Service => {
            table::Row::Service(table::ServiceRow { repeatable: Vec::new(), limits })
        }
    }
}

fn row_kind(row: &table::Row) -> table::RowKind {
    match row {
        table::Row::Adapter(_) => table::RowKind::Adapter,
        table::Row::Team(_) => table::RowKind::Team,
        table::Row::Service(_) => table::RowKind::Service,
    }
}
