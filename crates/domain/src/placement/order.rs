//! Orders to a worker.

use std::fmt;

use crate::adapter;
use crate::name;

/// An order to a worker. Orders are idempotent and may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// Load the weights of a base model.
    LoadBase(name::BaseModelName),
    /// Load an adapter, or replace another version of it; version 0 means the newest.
    Load(adapter::AdapterRef),
    /// Unload an adapter.
    Unload(name::AdapterName),
}

impl Order {
    /// Returns the adapter that is loaded or unloaded.
    #[must_use]
    pub fn adapter(&self) -> Option<&name::AdapterName> {
        match self {
            Self::LoadBase(_) => None,
            Self::Load(adapter) => Some(adapter.name()),
            Self::Unload(adapter) => Some(adapter),
        }
    }
}

impl fmt::Display for Order {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LoadBase(model) => write!(formatter, "load-base:{model}"),
            Self::Load(adapter) => write!(formatter, "load:{adapter}"),
            Self::Unload(adapter) => write!(formatter, "unload:{adapter}"),
        }
    }
}
