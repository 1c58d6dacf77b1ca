//! Ceilings on concurrent work, kept by one home daemon for each row.
//!
//! The home hands out permits to holders; a holder uses one permit for each request of the row.

mod decision;
mod holder;
#[allow(clippy::module_inception)]
mod quota;

pub use decision::Decision;
pub use holder::{Holder, Step};
pub use quota::Quota;
