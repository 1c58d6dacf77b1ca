//! Caller requests: priority class, retry and hedging limits, and the outcome of a failed request.

mod class;
mod hedge_delay;
mod outcome;
#[allow(clippy::module_inception)]
mod request;
mod retry_budget;

pub use class::Class;
pub use hedge_delay::HedgeDelay;
pub use outcome::Outcome;
pub use request::{Request, RetryDecision};
pub use retry_budget::RetryBudget;
