//! Quotas of teams over all daemons.
//!
//! Each daemon owns an equal share of the rate of each team. It lends what its callers do not use to
//! one daemon, the exchange of the team, which grants it to daemons with more demand. A share is
//! moved, never copied, so the shares of all daemons add up to one at most, whichever daemons
//! consider themselves the exchange.

mod admission;
mod bounds;
mod demand;
mod exchange;
mod message;
mod outbox;
mod shares;
mod team_limit;
#[allow(clippy::module_inception)]
mod team_quota;
mod team_quotas;
mod token_bucket;

pub use admission::Admission;
pub use bounds::QuotaBounds;
pub use exchange::Exchange;
pub use message::{Grant, Loan, ShareRequest};
pub use outbox::{Message, Outbox};
pub use shares::Shares;
pub use team_limit::TeamLimit;
pub use team_quota::TeamQuota;
pub use team_quotas::{ClockBounds, ShareChange, TeamQuotas};
pub use token_bucket::TokenBucket;
