//! Workers that the platform lists, and how long a listing is trusted.

mod directory;
#[allow(clippy::module_inception)]
mod upstream;

pub use directory::{Change, Directory};
pub use upstream::Upstream;
