//! The daemon on an entry host.
//!
//! A **control** thread owns the daemon's view of the fleet and publishes it as immutable
//! snapshots; **traffic** runs on a tokio runtime and only reads them. **Platform** threads make the
//! blocking calls to the platform's services.
//!
//! ```no_run
//! use jasminetack_entry::daemon;
//! use jasminetack_entry::settings;
//!
//! let settings = settings::Settings::from_environment().expect("valid settings");
//! daemon::run(settings).expect("the daemon starts");
//! ```

pub mod clock;
pub mod control;
pub mod daemon;
pub mod decision_log;
pub mod in_flight;
pub mod platform;
pub mod settings;
pub mod snapshot;
pub mod traffic;

pub mod metrics;
mod ops;
