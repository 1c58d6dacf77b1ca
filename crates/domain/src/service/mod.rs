//! Load balancing of calls to app services.

mod load_balancer;

pub use load_balancer::LoadBalancer;
