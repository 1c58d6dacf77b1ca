//! Stand-ins for outside systems, for tests and experiments only.
//!
//! Each stand-in is a library module with a small program of the same name. `GET /audit` of a
//! stand-in returns what it saw; `POST /switch` changes its faults while it runs.
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
