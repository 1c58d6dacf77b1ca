//! Keys of rows.

use std::fmt;
use std::sync::Arc;

/// Kind and name of a row; written `KIND/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RowKey {
    kind: RowKind,
    name: Arc<str>,
}

impl RowKey {
    /// Creates a key.
    #[must_use]
    pub fn new(kind: RowKind, name: &str) -> Self {
        Self { kind, name: Arc::from(name) }
    }

    /// Returns the kind of the row.
    #[must_use]
    pub fn kind(&self) -> RowKind {
        self.kind
    }

    /// Returns the name of the row.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Parses a key written `KIND/NAME`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (kind, name) = text.split_once('/')?;
        if name.is_empty() {
            return None;
        }
        Some(Self::new(RowKind::parse(kind)?, name))
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind.as_str(), self.name)
    }
}

/// Kind of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RowKind {
    /// An adapter.
    Adapter,
    /// A team.
    Team,
    /// An app service.
    Service,
}

impl RowKind {
    /// Returns the name of the kind, as written in keys.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Adapter => "adapter",
            Self::Team => "team",
            Self::Service => "service",
        }
    }

    fn parse(text: &str) -> Option<Self> {
        match text {
            "adapter" => Some(Self::Adapter),
            "team" => Some(Self::Team),
            "service" => Some(Self::Service),
            _ => None,
        }
    }
}
