//! Ceilings on concurrent work, kept by one home daemon for each row.
//!
//! The home hands out permits to holders; a holder uses one permit for each request of the row.

mod decision;
mod holder;
mod ledger;
mod order;
#[allow(clippy::module_inception)]
mod quota;

pub use decision::Decision;
pub use holder::{Holder, Step};
pub use ledger::{Ledger, Start};
pub use order::{Action, Order};
pub use quota::Quota;
