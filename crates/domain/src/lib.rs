//! Aggregates and decision logic of jasminetack.
//!
//! This crate does no I/O, starts no threads, reads no clock and depends on no message format. Each
//! module is an aggregate that owns its state and rules. Functions that depend on the time take it as
//! `now_ms`, in milliseconds of a monotonic clock chosen by the caller.
//!
//! ```
//! use jasminetack_domain::adapter;
//! use jasminetack_domain::name;
//!
//! let requested = adapter::AdapterRef::new(name::AdapterName::from("offer-da"), 3);
//! assert_eq!(requested.to_string(), "offer-da@3");
//! ```

pub mod adapter;
pub mod claim;
pub mod dispatch;
pub mod ingress;
pub mod lease;
pub mod locality;
pub mod member;
pub mod name;
pub mod order_lease;
pub mod placement;
pub mod quarantine;
pub mod quota;
pub mod request;
pub mod request_limit;
pub mod route;
pub mod service;
pub mod slot_credit;
pub mod store_time;
pub mod store_version;
pub mod table;
pub mod team;
pub mod team_quota;
pub mod upstream;
pub mod worker;
