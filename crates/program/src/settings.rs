//! Settings from flags and environment variables, with all problems reported together.

use std::env;
use std::fmt;
use std::str::FromStr;

/// Reads settings and collects what is wrong with them.
#[derive(Debug, Default)]
pub struct Reader {
    problems: Vec<Problem>,
    effective: Vec<Effective>,
}

#[derive(Clone, Debug)]
struct Effective {
    flag: &'static str,
    value: String,
}

/// One setting that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    flag: &'static str,
    value: Option<String>,
    allowed: &'static str,
}

/// All settings that are wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problems(Vec<Problem>);

impl Reader {
    /// Reads an optional setting; the flag takes precedence over the environment variable.
    pub fn value<Value>(
        &mut self,
        flag: &'static str,
        given: Option<String>,
        default: Value,
        allowed: &'static str,
    ) -> Value
    where
        Value: FromStr + fmt::Display,
    {
        let value = match text(flag, given) {
            None => default,
            Some(text) => match text.parse() {
                Ok(value) => value,
                Err(_) => {
                    self.problem(flag, Some(text), allowed);
                    default
                }
            },
        };
        self.effective.push(Effective { flag, value: value.to_string() });
        value
    }

    /// Reads a setting that has no default; `placeholder` is returned when it is missing.
    pub fn required<Value>(
        &mut self,
        flag: &'static str,
        given: Option<String>,
        placeholder: Value,
        allowed: &'static str,
    ) -> Value
    where
        Value: FromStr + fmt::Display,
    {
        let Some(text) = text(flag, given) else {
            self.problem(flag, None, allowed);
            return placeholder;
        };
        self.value(flag, Some(text), placeholder, allowed)
    }

    /// Reads a secret; its value is never printed.
    pub fn secret(&mut self, flag: &'static str, given: Option<String>) -> String {
        let secret = self.optional_secret(flag, given);
        if secret.is_empty() {
            self.problem(flag, None, "a secret that is not empty");
        }
        secret
    }

    /// Reads a secret that may be empty; its value is never printed.
    pub fn optional_secret(&mut self, flag: &'static str, given: Option<String>) -> String {
        let secret = text(flag, given).unwrap_or_default();
        let value = if secret.is_empty() { "(none)" } else { "(hidden)" };
        self.effective.push(Effective { flag, value: value.to_owned() });
        secret
    }

    /// Adds a problem that a program found itself.
    pub fn problem(&mut self, flag: &'static str, value: Option<String>, allowed: &'static str) {
        self.problems.push(Problem { flag, value, allowed });
    }

    /// Lists the effective settings, one a line.
    #[must_use]
    pub fn describe(&self) -> String {
        let mut text = String::new();
        for Effective { flag, value } in &self.effective {
            text.push_str(&format!("{flag} ({}) = {value}\n", variable(flag)));
        }
        text
    }

    /// Ends reading.
    ///
    /// # Errors
    ///
    /// Fails with every problem that was found.
    pub fn finish(&self) -> Result<(), Problems> {
        if self.problems.is_empty() {
            return Ok(());
        }
        Err(Problems(self.problems.clone()))
    }
}

/// Returns the environment variable of a flag: `--max-body-bytes` is `JASMINETACK_MAX_BODY_BYTES`.
#[must_use]
pub fn variable(flag: &str) -> String {
    let name = flag.trim_start_matches('-').replace('-', "_").to_ascii_uppercase();
    format!("JASMINETACK_{name}")
}

fn text(flag: &str, given: Option<String>) -> Option<String> {
    let text = given.or_else(|| env::var(variable(flag)).ok());
    text.filter(|text| !text.is_empty())
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { flag, value, allowed } = self;
        let variable = variable(flag);
        match value {
            Some(value) => write!(formatter, "{flag} ({variable}) is {value:?}; give {allowed}"),
            None => write!(formatter, "{flag} ({variable}) is missing; give {allowed}"),
        }
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            problem.fmt(formatter)?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
