//! Start-up code shared by the binaries: settings from flags and environment variables, and
//! logging.
//!
//! ```
//! use jasminetack_program::settings;
//!
//! let mut reader = settings::Reader::default();
//! let port: u16 = reader.value("--port", Some("80a".to_owned()), 8080, "a TCP port");
//! assert_eq!(port, 8080);
//! assert!(reader.finish().unwrap_err().to_string().contains("--port"));
//! ```

pub mod bounded_sink;
pub mod log;
pub mod settings;
