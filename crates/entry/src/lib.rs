//! Daemon of an entry host: routes requests of callers to model workers and app services.
//!
//! One **control** thread owns the mutable state of the fleet and publishes it as immutable
//! snapshots. **Traffic** runs on a tokio runtime and reads only the snapshots. **Platform**
//! threads make the blocking calls to the services of the platform.
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
pub mod metrics;
mod ops;
pub mod platform;
pub mod settings;
pub mod snapshot;
pub mod traffic;
