//! Daemons as this daemon knows them: membership, failure detection and the spread of events.

mod detector;
mod fixed_timeout;
mod grey_prediction;
mod intervals;
mod mean_deviation;
#[allow(clippy::module_inception)]
mod member;
mod membership;
pub mod rendezvous;
mod rumors;

pub use detector::Detector;
pub use fixed_timeout::FixedTimeout;
pub use grey_prediction::GreyPrediction;
pub use mean_deviation::MeanDeviation;
pub use member::Member;
pub use membership::Membership;
pub use rumors::{DIGEST_BUCKETS, Learned, Rumor, Rumors};
