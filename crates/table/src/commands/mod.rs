//! Subcommands; each writes to an output that its caller passes in.

pub mod explain;
pub mod history;
pub mod show;
pub mod status;
pub mod write;
