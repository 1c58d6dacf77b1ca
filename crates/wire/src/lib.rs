//! Message types of jasminetack and their encoding.
//!
//! Wire types mirror domain types and convert with `From` and `TryFrom`; this crate contains no
//! decision logic.
//!
//! ```
//! use jasminetack_wire::platform;
//!
//! let page: platform::RowsPage = serde_json::from_str(r#"{"rows":[],"head_version":7}"#).unwrap();
//! assert_eq!(page.head_version, 7);
//! ```

pub mod claim;
pub mod codec;
pub mod engine;
pub mod failure;
pub mod fleet;
pub mod gossip;
pub mod history;
pub mod lease_row;
pub mod operations;
pub mod peer;
pub mod permit;
pub mod platform;
pub mod row;
