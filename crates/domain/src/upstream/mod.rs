//! Directory of the workers that the platform lists, and the expiry of its entries.

mod directory;
mod read_series;
#[allow(clippy::module_inception)]
mod upstream;

pub use directory::{Change, Directory, REREGISTRATION_GRACE_MS};
pub use read_series::ReadSeries;
pub use upstream::Upstream;
