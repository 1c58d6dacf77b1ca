//! Row of an app service.

use super::Limits;

/// Row of one app service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRow {
    /// Calls that may be repeated; any other call needs an idempotency key.
    pub repeatable: Vec<CallPattern>,
    /// Limits of the row.
    pub limits: Limits,
}

impl ServiceRow {
    /// Tells whether a call may be sent more than once.
    #[must_use]
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        self.repeatable.iter().any(|pattern| pattern.matches(method, path))
    }
}

/// Method and path prefix of a group of calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallPattern {
    /// HTTP method, or `*` for any.
    pub method: String,
    /// Prefix of the path below `/services/NAME`.
    pub path_prefix: String,
}

impl CallPattern {
    fn matches(&self, method: &str, path: &str) -> bool {
        (self.method == "*" || self.method == method) && path.starts_with(&self.path_prefix)
    }
}
