//! Rows of app services.

use super::Limits;

/// Row of an app service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRow {
    /// Calls that are safe to retry; any other call needs an idempotency key.
    pub repeatable: Vec<CallPattern>,
    /// Scheduling and capacity limits.
    pub limits: Limits,
}

impl ServiceRow {
    /// Returns whether a call is safe to retry.
    #[must_use]
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        self.repeatable.iter().any(|pattern| pattern.matches(method, path))
    }
}

/// Pattern that matches calls by method and path prefix.
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
