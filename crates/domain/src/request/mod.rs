//! Requests of callers: class, progress and the outcome that may be claimed.

mod class;
mod outcome;

pub use class::Class;
pub use outcome::Outcome;
