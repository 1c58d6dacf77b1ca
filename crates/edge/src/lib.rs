//! The daemon that sends callers' requests straight to workers.
//!
//! It runs where the workers queue, batch and preempt by themselves. A **control** thread owns the
//! daemon's knowledge of the fleet and publishes it as immutable views; **traffic** runs on one
//! thread with a tokio runtime and only reads them; **feed** threads make the blocking calls to the
//! store. What a platform's messages look like is left to implementations of
//! [`dialect::Dialect`] and [`store::MetadataStore`].

pub mod clock;
pub mod control;
pub mod daemon;
pub mod dialect;
pub mod host;
pub mod metrics;
pub mod settings;
pub mod store;
pub mod traffic;
pub mod view;
