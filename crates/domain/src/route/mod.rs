//! Choice of the worker that serves a request.

mod decision;
mod fleet;
mod latency_tracker;
mod least_outstanding;
mod observations;
mod policy;
mod random;
mod sample;
mod scored;
mod worker_latency;
mod worker_view;

pub use decision::Decision;
pub use fleet::Fleet;
pub use latency_tracker::LatencyTracker;
pub use least_outstanding::LeastOutstanding;
pub use observations::Observations;
pub use policy::{Policy, RouteRequest};
pub use random::Random;
pub use scored::Scored;
pub use worker_latency::WorkerLatency;
pub use worker_view::WorkerView;
