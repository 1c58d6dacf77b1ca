//! Distributed concurrency limits, each coordinated by the home daemon of its row.
//!
//! The home daemon of a row grants permits up to the row's ceiling. Each daemon that serves requests
//! of the row is a holder and uses one permit per running request.

mod decision;
mod holder;
mod ledger;
mod permit_message;
#[allow(clippy::module_inception)]
mod quota;

pub use decision::Decision;
pub use holder::{Holder, Step};
pub use ledger::{Ledger, Start};
pub use permit_message::{Action, PermitMessage};
pub use quota::Quota;
