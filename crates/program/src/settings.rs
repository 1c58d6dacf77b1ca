//! Settings from command-line flags and environment variables, with all errors reported together.

use std::env;
use std::fmt;
use std::str::FromStr;

/// Reads settings and collects the invalid ones.
#[derive(Debug, Default)]
pub struct Reader {
    invalid: Vec<InvalidSetting>,
    effective: Vec<EffectiveSetting>,
}

#[derive(Clone, Debug)]
struct EffectiveSetting {
    flag: &'static str,
    value: String,
}

/// A setting that is missing or not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    flag: &'static str,
    value: Option<String>,
    allowed: &'static str,
}

/// All settings that are missing or not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSettings(Vec<InvalidSetting>);

impl Reader {
    /// Reads an optional setting; the flag takes precedence over the environment variable.
    ///
    /// `allowed` describes the valid values in error messages.
    pub fn value<Value>(
        &mut self,
        flag: &'static str,
        argument: Option<String>,
        default: Value,
        allowed: &'static str,
    ) -> Value
    where
        Value: FromStr + fmt::Display,
    {
        let value = match read_text(flag, argument) {
            None => default,
            Some(text) => match text.parse() {
                Ok(value) => value,
                Err(_) => {
                    self.add_invalid(flag, Some(text), allowed);
                    default
                }
            },
        };
        self.effective.push(EffectiveSetting { flag, value: value.to_string() });
        value
    }

    /// Reads a setting without a default; returns `placeholder` when it is missing or not valid.
    pub fn required<Value>(
        &mut self,
        flag: &'static str,
        argument: Option<String>,
        placeholder: Value,
        allowed: &'static str,
    ) -> Value
    where
        Value: FromStr + fmt::Display,
    {
        let Some(text) = read_text(flag, argument) else {
            self.add_invalid(flag, None, allowed);
            return placeholder;
        };
        self.value(flag, Some(text), placeholder, allowed)
    }

    /// Reads a secret; its value is never printed.
    pub fn secret(&mut self, flag: &'static str, argument: Option<String>) -> String {
        let secret = self.optional_secret(flag, argument);
        if secret.is_empty() {
            self.add_invalid(flag, None, "a secret that is not empty");
        }
        secret
    }

    /// Reads a secret that may be empty; its value is never printed.
    pub fn optional_secret(&mut self, flag: &'static str, argument: Option<String>) -> String {
        let secret = read_text(flag, argument).unwrap_or_default();
        let value = if secret.is_empty() { "(none)" } else { "(hidden)" };
        self.effective.push(EffectiveSetting { flag, value: value.to_owned() });
        secret
    }

    /// Adds an invalid setting that the program itself detected.
    pub fn add_invalid(
        &mut self,
        flag: &'static str,
        value: Option<String>,
        allowed: &'static str,
    ) {
        self.invalid.push(InvalidSetting { flag, value, allowed });
    }

    /// Lists the effective settings, one per line, with secrets hidden.
    #[must_use]
    pub fn describe(&self) -> String {
        let mut text = String::new();
        for EffectiveSetting { flag, value } in &self.effective {
            text.push_str(&format!("{flag} ({}) = {value}\n", environment_variable(flag)));
        }
        text
    }

    /// Checks that all settings read so far are valid.
    ///
    /// # Errors
    ///
    /// Fails with every setting that is missing or not valid.
    pub fn finish(&self) -> Result<(), InvalidSettings> {
        if self.invalid.is_empty() {
            return Ok(());
        }
        Err(InvalidSettings(self.invalid.clone()))
    }
}

/// Returns the environment variable of a flag: `JASMINETACK_MAX_BODY_BYTES` for
/// `--max-body-bytes`.
#[must_use]
pub fn environment_variable(flag: &str) -> String {
    let name = flag.trim_start_matches('-').replace('-', "_").to_ascii_uppercase();
    format!("JASMINETACK_{name}")
}

fn read_text(flag: &str, argument: Option<String>) -> Option<String> {
    let text = argument.or_else(|| env::var(environment_variable(flag)).ok());
    text.filter(|text| !text.is_empty())
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { flag, value, allowed } = self;
        let variable = environment_variable(flag);
        match value {
            Some(value) => write!(formatter, "{flag} ({variable}) is {value:?}; give {allowed}"),
            None => write!(formatter, "{flag} ({variable}) is missing; give {allowed}"),
        }
    }
}

impl fmt::Display for InvalidSettings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, setting) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            setting.fmt(formatter)?;
        }
        Ok(())
    }
}

impl std::error::Error for InvalidSettings {}
