//! Harness that runs the built programs on loopback for tests of the guarantees.
//!
//! The programs must have been built: `cargo build --workspace --bins`, in the profile of the tests.
//! Every program that a test starts is ended by its process id when its handle is dropped.
//!
//! ```no_run
//! use jasminetack_proofs::caller;
//! use jasminetack_proofs::fleet;
//!
//! let fleet = fleet::Fleet::start(fleet::Plan::default())?;
//! let answer = fleet.daemons[0].complete(&caller::CompletionRequest::default());
//! assert_eq!(answer.status, 200);
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
