//! Daemon that forwards callers' requests directly to workers.
//!
//! It is used with workers that queue, batch and preempt requests themselves. The **control**
//! thread owns the state of the fleet and publishes it as immutable views. **Traffic** runs on one
//! thread with a tokio runtime and only reads the views. **Feed** and **writer** threads make the
//! blocking calls to the store. Message formats of the platform are left to implementations of
//! [`dialect::Dialect`] and [`store::MetadataStore`].

pub mod clock;
pub mod control;
pub mod daemon;
pub mod dialect;
pub mod host;
pub mod metrics;
pub mod settings;
pub mod store;
pub mod team_metrics;
pub mod team_tokens;
pub mod traffic;
pub mod view;
