//! Errors of resolving a model name.

use crate::adapter;
use crate::name;

/// Error of resolving a model name to an adapter version.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ResolveError {
    /// The text is not `NAME` or `NAME@VERSION`.
    #[snafu(display("bad model name: {source}"))]
    Syntax {
        /// Syntax error.
        source: adapter::ParseAdapterRefError,
    },
    /// The table has no adapter of the name.
    #[snafu(display("unknown adapter {name}"))]
    UnknownAdapter {
        /// Requested name.
        name: name::AdapterName,
    },
    /// The row does not list the version.
    #[snafu(display("adapter {name} has no version {version}"))]
    UnknownVersion {
        /// Requested name.
        name: name::AdapterName,
        /// Requested version.
        version: u32,
    },
    /// The row lists no versions.
    #[snafu(display("adapter {name} has no version yet"))]
    NoVersion {
        /// Requested name.
        name: name::AdapterName,
    },
}
