//! Review of a configuration before it is put in force.

mod change;
mod change_kind;
mod comparison;
mod entry;
mod field;
mod finding;
mod place;
mod routes;
mod services;
mod severity;
mod teams;

use super::Draft;

pub use change::Change;
pub use change_kind::ChangeKind;
pub use comparison::Comparison;
pub use entry::Entry;
pub use field::Field;
pub use finding::Finding;
pub use place::Place;
pub use severity::Severity;

/// Returns the findings on a configuration by itself.
///
/// `grace_ms` is the time that a daemon has for its shutdown; `None` if it is not known.
#[must_use]
pub fn check(draft: &Draft, grace_ms: Option<u64>) -> Vec<Finding> {
    let mut findings = Vec::new();
    routes::check(draft, grace_ms, &mut findings);
    services::check(draft, &mut findings);
    teams::check(draft, &mut findings);
    findings
}
