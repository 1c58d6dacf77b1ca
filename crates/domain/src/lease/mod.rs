//! Session leases of daemons and ownership of workers.
//!
//! Each daemon renews one session row by compare-and-set. An owner row names the incarnation of a
//! session and is valid while that incarnation holds its lease. No rule compares clocks of different
//! hosts: an observer measures expiry by its own clock and confirms it by the row's version.

mod former_owner;
mod grant;
mod holder;
mod incarnation;
mod observer;
mod owner_change;
mod owner_row;
mod ownership;
mod released_row;
mod session;
mod session_row;
mod stored;

pub use former_owner::FormerOwner;
pub use grant::Grant;
pub use holder::Holder;
pub use incarnation::Incarnation;
pub use observer::Observer;
pub use owner_change::OwnerChange;
pub use owner_row::OwnerRow;
pub use ownership::{MAX_FORMER_OWNERS, Ownership};
pub use released_row::ReleasedRow;
pub use session::{RenewalConflict, Session, SessionWrite};
pub use session_row::{SessionRow, SessionState};
pub use stored::Stored;
