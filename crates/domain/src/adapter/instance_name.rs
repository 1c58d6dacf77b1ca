//! Names under which engines hold adapters.

use std::fmt;
use std::sync::Arc;

use super::{AdapterRef, FencingToken};
use crate::name;

/// Name of a loaded adapter on an engine: `NAME@VERSION` or `NAME@VERSION.fN`.
///
/// The suffix carries the owner's fencing token on engines that ignore such numbers, so that a
/// late order of a former owner names none of the present owner's instances.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InstanceName(Arc<str>);

impl InstanceName {
    /// Names an instance on an engine that refuses old fencing tokens.
    #[must_use]
    pub fn shared(adapter: &AdapterRef) -> Self {
        Self(Arc::from(adapter.to_string()))
    }

    /// Names an instance on an engine that ignores fencing tokens.
    #[must_use]
    pub fn fenced(adapter: &AdapterRef, fencing: FencingToken) -> Self {
        Self(Arc::from(format!("{adapter}.f{fencing}")))
    }

    /// Wraps a name that an engine reported.
    #[must_use]
    pub fn listed(name: &str) -> Self {
        Self(Arc::from(name))
    }

    /// Returns the name as the engine knows it.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Reads a name from an engine's listing; `None` when it is not one of ours.
    #[must_use]
    pub fn parse(text: &str) -> Option<(AdapterRef, Option<FencingToken>)> {
        let (name, rest) = text.rsplit_once('@')?;
        let (version, fencing) = match rest.split_once(".f") {
            None => (rest, None),
            Some((version, number)) => (version, Some(FencingToken::new(number.parse().ok()?))),
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
