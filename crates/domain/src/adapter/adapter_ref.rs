//! Versioned references to adapters.

use std::fmt;

use crate::name;

/// Reference to one version of an adapter, resolved once per request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AdapterRef {
    name: name::AdapterName,
    version: u32,
}

impl AdapterRef {
    /// Creates a reference to a version of an adapter.
    #[must_use]
    pub fn new(name: name::AdapterName, version: u32) -> Self {
        Self { name, version }
    }

    /// Returns the adapter's name.
    #[must_use]
    pub fn name(&self) -> &name::AdapterName {
        &self.name
    }

    /// Returns the version.
    #[must_use]
    pub fn version(&self) -> u32 {
        self.version
    }

    /// Parses a caller's `model` field, `NAME` or `NAME@VERSION`.
    ///
    /// # Errors
    ///
    /// Fails if the name is empty or the version is not a number.
    pub fn parse_model(
        model: &str,
    ) -> Result<(name::AdapterName, Option<u32>), ParseAdapterRefError> {
        let (name, version) = match model.split_once('@') {
            None => (model, None),
            Some((name, version)) => {
                let version = version.parse().map_err(|_| ParseAdapterRefError::BadVersion)?;
                (name, Some(version))
            }
        };
        if name.is_empty() {
            return Err(ParseAdapterRefError::EmptyName);
        }
        Ok((name::AdapterName::from(name), version))
    }
}

impl fmt::Display for AdapterRef {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.name, self.version)
    }
}

/// Error of parsing a `model` field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum ParseAdapterRefError {
    /// The part before `@` is empty.
    #[snafu(display("the adapter name is empty"))]
    EmptyName,
    /// The part after `@` is not a number.
    #[snafu(display("the version after `@` is not a whole number"))]
    BadVersion,
}
