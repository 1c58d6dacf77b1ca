//! Choice of the host that serves a call to an app service.

mod load_balancer;

pub use load_balancer::LoadBalancer;
