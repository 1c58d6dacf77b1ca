//! Log sink with a bounded queue that never blocks the logging thread.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, Sender, TrySendError};
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{GetSinkProp, Sink, SinkProp};

use crate::log::KeyValueFormatter;

/// Capacity of the queue; further lines are dropped.
const QUEUE_CAPACITY_LINES: usize = 4_096;
/// Time for which lines are collected into one write.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time that a flush waits for a slow reader.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Writes lines on a separate thread; lines that do not fit in the queue are dropped and counted.
pub struct BoundedSink {
    prop: SinkProp,
    commands: Sender<Command>,
    dropped: Arc<AtomicU64>,
}

enum Command {
    /// Writes a formatted line.
    Write(String),
    /// Signals the channel once all earlier lines are written.
    Flush(Sender<()>),
}

impl BoundedSink {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn start<Output>(output: Output) -> spdlog::Result<Self>
    where
        Output: Write + Send + 'static,
    {
        let (commands, receiver) = crossbeam_channel::bounded(QUEUE_CAPACITY_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(output, &receiver, &counter))
            .map_err(spdlog::Error::WriteRecord)?;
        Ok(Self { prop: SinkProp::default(), commands, dropped })
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
        if let Err(TrySendError::Full(_)) = self.commands.try_send(Command::Write(line.to_string()))
        {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        let (done, written) = crossbeam_channel::bounded(1);
        if self.commands.try_send(Command::Flush(done)).is_ok() {
            // A blocked reader must not delay the end of the process beyond the timeout.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

fn write_lines<Output>(mut output: Output, commands: &Receiver<Command>, dropped: &AtomicU64)
where
    Output: Write,
{
    while let Ok(first) = commands.recv() {
        if matches!(first, Command::Write(_)) {
            thread::sleep(BATCH_INTERVAL);
        }
        let mut text = String::new();
        let mut pending_flushes = Vec::new();
        for command in std::iter::once(first).chain(commands.try_iter().take(QUEUE_CAPACITY_LINES))
        {
            match command {
                Command::Write(line) => text.push_str(&line),
                Command::Flush(done) => pending_flushes.push(done),
            }
        }
        let dropped_count = dropped.swap(0, Ordering::Relaxed);
        if dropped_count > 0 {
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
            let time_ms = since_epoch.map_or(0, |elapsed| elapsed.as_millis());
            text.push_str(&format!(
                "time_ms={time_ms} level=warn event=log-lines-dropped count={dropped_count}\n"
            ));
        }
        // A failed write cannot be reported, since this sink is the log.
        let _ = output.write_all(text.as_bytes()).and_then(|()| output.flush());
        for done in pending_flushes {
            let _ = done.send(());
        }
    }
}
