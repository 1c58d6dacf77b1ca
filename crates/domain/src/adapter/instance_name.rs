//! Names of adapters loaded on engines.

use std::fmt;
use std::sync::Arc;

use super::{AdapterRef, FencingToken};
use crate::name;

/// Name of a loaded adapter on an engine: `NAME@VERSION` or `NAME@VERSION.fN`.
///
/// The suffix carries the owner's fencing token. It is used on engines that don't check fencing
/// tokens, so that a delayed order of a former owner can't name an instance of the current owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InstanceName(Arc<str>);

impl InstanceName {
    /// Creates the name for an engine that rejects outdated fencing tokens.
    #[must_use]
    pub fn unfenced(adapter: &AdapterRef) -> Self {
        Self(Arc::from(adapter.to_string()))
    }

    /// Creates the name for an engine that doesn't check fencing tokens.
    #[must_use]
    pub fn fenced(adapter: &AdapterRef, fencing: FencingToken) -> Self {
        Self(Arc::from(format!("{adapter}.f{fencing}")))
    }

    /// Wraps a name reported by an engine, without parsing it.
    #[must_use]
    pub fn from_engine(name: &str) -> Self {
        Self(Arc::from(name))
    }

    /// Returns the name used in the engine's API.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Parses a name from an engine's model list; `None` if it has neither form.
    #[must_use]
    pub fn parse(text: &str) -> Option<(AdapterRef, Option<FencingToken>)> {
        let (name, rest) = text.rsplit_once('@')?;
        let (version, fencing) = match rest.split_once(".f") {
            None => (rest, None),
            Some((version, token)) => (version, Some(FencingToken::new(token.parse().ok()?))),
        };
        let adapter = AdapterRef::new(name::AdapterName::from(name), version.parse().ok()?);
        Some((adapter, fencing))
    }
}

impl fmt::Display for InstanceName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
