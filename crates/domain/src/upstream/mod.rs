//! Workers that the platform lists, and how long a listing is trusted.

mod directory;
#[allow(clippy::module_inception)]
mod upstream;

pub use directory::{Change, Directory, LAPSE_GRACE_MS};
pub use upstream::Upstream;
