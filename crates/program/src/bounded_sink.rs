//! Log sink that never waits for the reader of the log.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, Sender, TrySendError};
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{GetSinkProp, Sink, SinkProp};

use crate::log::KeyValueFormatter;

/// Lines that may wait for the reader.
const MAX_LINES: usize = 4_096;
/// Time in which lines are gathered for one write.
const GATHER_TIME: Duration = Duration::from_millis(100);
/// Longest wait for the reader at the end of the process.
const FLUSH_LIMIT: Duration = Duration::from_millis(300);

/// Writes lines on a thread of its own; lines beyond the limit are dropped and counted.
pub struct BoundedSink {
    prop: SinkProp,
    lines: Sender<Line>,
    dropped: Arc<AtomicU64>,
}

enum Line {
    Text(String),
    Flush(Sender<()>),
}

impl BoundedSink {
    /// Starts the thread that writes.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn start<Output>(output: Output) -> spdlog::Result<Self>
    where
        Output: Write + Send + 'static,
    {
        let (lines, receiver) = crossbeam_channel::bounded(MAX_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(output, &receiver, &counter))
            .map_err(spdlog::Error::WriteRecord)?;
        Ok(Self { prop: SinkProp::default(), lines, dropped })
    }
}

impl GetSinkProp for BoundedSink {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for BoundedSink {
    fn log(&self, record: &spdlog::Record<'_>) -> spdlog::Result<()> {
        let mut line = spdlog::StringBuf::new();
        KeyValueFormatter.format(record, &mut line, &mut FormatterContext::new())?;
        if let Err(TrySendError::Full(_)) = self.lines.try_send(Line::Text(line.to_string())) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        let (done, written) = crossbeam_channel::bounded(1);
        if self.lines.try_send(Line::Flush(done)).is_ok() {
            // A reader that does not read must not hold the process back.
            let _ = written.recv_timeout(FLUSH_LIMIT);
        }
        Ok(())
    }
}

fn write_lines<Output>(mut output: Output, lines: &Receiver<Line>, dropped: &AtomicU64)
where
    Output: Write,
{
    while let Ok(first) = lines.recv() {
        if matches!(first, Line::Text(_)) {
            thread::sleep(GATHER_TIME);
        }
        let mut text = String::new();
        let mut flushed = Vec::new();
        for line in std::iter::once(first).chain(lines.try_iter().take(MAX_LINES)) {
            match line {
                Line::Text(line) => text.push_str(&line),
                Line::Flush(done) => flushed.push(done),
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
            let time_ms = since_1970.map_or(0, |elapsed| elapsed.as_millis());
            text.push_str(&format!(
                "time_ms={time_ms} level=warn event=log-lines-dropped count={lost}\n"
            ));
        }
        // Without a reader there is nobody to tell.
        let _ = output.write_all(text.as_bytes()).and_then(|()| output.flush());
        for done in flushed {
            let _ = done.send(());
        }
    }
}
