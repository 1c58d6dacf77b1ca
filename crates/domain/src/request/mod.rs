//! Requests of callers: class, progress and the outcome that may be claimed.

mod class;
mod hedge_delay;
mod outcome;
mod retry_budget;

pub use class::Class;
pub use hedge_delay::HedgeDelay;
pub use outcome::Outcome;
pub use retry_budget::RetryBudget;
