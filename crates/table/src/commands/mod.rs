//! The commands; each writes to an output that the program chooses.

pub mod explain;
pub mod history;
pub mod show;
pub mod status;
pub mod write;
