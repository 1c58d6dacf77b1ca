//! Failures of resolving a model name.

use crate::adapter;
use crate::name;

/// Why a model name resolves to no adapter version.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ResolveError {
    /// The text is not `NAME` or `NAME@VERSION`.
    #[snafu(display("bad model name: {source}"))]
    Syntax {
        /// What is wrong with the text.
        source: adapter::ParseAdapterRefError,
    },
    /// No row has the name.
    #[snafu(display("unknown adapter {name}"))]
    UnknownAdapter {
        /// Name that was asked for.
        name: name::AdapterName,
    },
    /// The row does not list the version.
    #[snafu(display("adapter {name} has no version {version}"))]
    UnknownVersion {
        /// Name that was asked for.
        name: name::AdapterName,
        /// Version that was asked for.
        version: u32,
    },
    /// The row lists no version at all.
    #[snafu(display("adapter {name} has no version yet"))]
    NoVersion {
        /// Name that was asked for.
        name: name::AdapterName,
    },
}
