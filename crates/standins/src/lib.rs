//! Test doubles (stand-ins) of external systems, for tests and experiments only.
//!
//! [`app`], [`engine`], [`platform`] and [`relay`] are each also available as a binary. Their HTTP
//! API has `GET /audit`, which returns recorded calls and counters, and `POST /switch`, which
//! changes the injected faults at run time. [`fleet`] runs inside test processes.
//!
//! ```
//! use jasminetack_standins::platform;
//!
//! let store = platform::Store::default();
//! assert_eq!(store.page("row/", 0, 100).head_version, 0);
//! ```

pub mod app;
pub mod clock;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod platform;
pub mod relay;
pub mod unblock;
