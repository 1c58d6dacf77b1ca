//! Places in a configuration.

use super::{Entry, Field};

/// Entry of a configuration, or one of its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The entry.
    pub entry: Entry,
    /// The field; `None` for the entry as a whole.
    pub field: Option<Field>,
}

impl Place {
    /// Returns the place of an entry as a whole.
    #[must_use]
    pub fn entry(entry: Entry) -> Self {
        Self { entry, field: None }
    }

    /// Returns the place of a field.
    #[must_use]
    pub fn field(entry: Entry, field: Field) -> Self {
        Self { entry, field: Some(field) }
    }
}
