//! Stand-ins for outside systems, for tests and experiments only.

pub mod http;
