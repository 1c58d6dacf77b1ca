//! Test harness that runs the built programs on the loopback interface.
//!
//! The programs must be built first with `cargo build --workspace --bins`, in the same profile as
//! the tests.
//! Every process that a test starts is killed when its handle is dropped.
//!
//! ```no_run
//! use jasminetack_proofs::caller;
//! use jasminetack_proofs::fleet;
//!
//! let fleet = fleet::Fleet::start(fleet::FleetConfig::default())?;
//! let response = fleet.daemons[0].complete(&caller::CompletionRequest::default());
//! assert_eq!(response.status, 200);
//! # Ok::<(), std::io::Error>(())
//! ```

pub mod caller;
pub mod daemon;
pub mod fleet;
pub mod http;
pub mod operator;
pub mod platform;
pub mod ports;
pub mod program;
pub mod traffic;
pub mod upstream;
pub mod wait;
