//! Logging: one line of key=value pairs per event.

use std::fmt::Write;
use std::sync::Arc;
use std::time::UNIX_EPOCH;

use spdlog::formatter;
use spdlog::sink;

use crate::bounded_sink;

/// Formats a record as `time_ms=… level=… event=… key=value …`.
#[derive(Clone, Debug, Default)]
pub struct KeyValueFormatter;

impl formatter::Formatter for KeyValueFormatter {
    fn format(
        &self,
        record: &spdlog::Record<'_>,
        line: &mut spdlog::StringBuf,
        _context: &mut formatter::FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        let time_ms = record.time().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis());
        let level = record.level().as_str();
        let mut write = || -> std::fmt::Result {
            write!(line, "time_ms={time_ms} level={level} event={}", record.payload())?;
            for (key, value) in record.key_values().iter() {
                let value = value.to_string();
                if value.is_empty() || value.contains([' ', '"', '=', '\n']) {
                    write!(line, " {}={value:?}", key.as_str())?;
                    continue;
                }
                write!(line, " {}={value}", key.as_str())?;
            }
            line.write_char('\n')
        };
        write().map_err(spdlog::Error::FormatRecord)
    }
}

/// Installs a default logger that writes to standard error.
///
/// # Errors
///
/// Fails when the logger cannot be built.
pub fn start(level: spdlog::Level) -> spdlog::Result<()> {
    let sink = sink::StdStreamSink::builder().stderr().formatter(KeyValueFormatter).build_arc()?;
    let logger = spdlog::Logger::builder()
        .sink(sink)
        .level_filter(spdlog::LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(spdlog::LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Installs a default logger that writes to standard output and never blocks on a slow reader.
///
/// When the queue is full, lines are dropped and counted.
///
/// # Errors
///
/// Fails when the writer thread cannot be started or the logger cannot be built.
pub fn start_non_blocking(level: spdlog::Level) -> spdlog::Result<()> {
    let sink = bounded_sink::BoundedSink::start(std::io::stdout())?;
    let logger = spdlog::Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(spdlog::LevelFilter::MoreSevereEqual(level))
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Flushes the default logger; called before the process exits.
pub fn flush() {
    spdlog::default_logger().flush();
}
