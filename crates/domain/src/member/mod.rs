//! Cluster membership as this daemon sees it: membership view, failure detectors and gossip state.

mod detector;
mod fixed_timeout;
mod gossip_store;
mod grey_prediction;
mod intervals;
mod mean_deviation;
#[allow(clippy::module_inception)]
mod member;
mod membership;
pub mod rendezvous;

pub use detector::Detector;
pub use fixed_timeout::FixedTimeout;
pub use gossip_store::{DIGEST_BUCKETS, GossipEntry, GossipStore, MergeOutcome};
pub use grey_prediction::GreyPrediction;
pub use mean_deviation::MeanDeviation;
pub use member::Member;
pub use membership::Membership;
