//! Command line for operators: shows and edits the table, and shows history, status and decisions.
//!
//! ```
//! use jasminetack_domain::table;
//! use jasminetack_table::assignment;
//!
//! let mut row = assignment::default_row(table::RowKind::Team);
//! assignment::Assignment::parse("weight=3").unwrap().assign(&mut row).unwrap();
//! assert_eq!(row.limits().weight, 3);
//! ```

pub mod assignment;
pub mod command_error;
pub mod commands;
pub mod commit;
pub mod file;
#[rustfmt::skip]
#[allow(missing_docs)]
pub mod flags;
pub mod plan;
pub mod platform;
pub mod program;
pub mod row_change;
pub mod session_view;
pub mod settings;
pub mod stored;
pub mod text;
