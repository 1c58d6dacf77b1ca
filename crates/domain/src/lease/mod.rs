//! Leases of daemons and ownership of workers.
//!
//! A daemon holds one session row that it renews by compare-and-set. Owner rows name a session's
//! incarnation and are valid for as long as that incarnation is. No rule here relies on clocks of
//! different hosts: expiry is judged by the observer's own clock and confirmed by the row's version.

mod claim;
mod former;
mod grant;
mod holder;
mod incarnation;
mod observer;
mod owner_row;
mod ownership;
mod released_row;
mod session;
mod session_row;
mod stored;

pub use claim::Claim;
pub use former::Former;
pub use grant::Grant;
pub use holder::Holder;
pub use incarnation::Incarnation;
pub use observer::Observer;
pub use owner_row::OwnerRow;
pub use ownership::{MAX_FORMER, Ownership};
pub use released_row::ReleasedRow;
pub use session::{Refusal, Session, SessionWrite};
pub use session_row::{SessionRow, SessionState};
pub use stored::Stored;
