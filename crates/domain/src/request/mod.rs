//! Requests of callers: class, progress and the outcome that may be claimed.

mod class;
mod hedge_delay;
mod outcome;
#[allow(clippy::module_inception)]
mod request;
mod retry_budget;

pub use class::Class;
pub use hedge_delay::HedgeDelay;
pub use outcome::Outcome;
pub use request::{Next, Request};
pub use retry_budget::RetryBudget;
