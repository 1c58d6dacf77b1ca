//! Tests of the log sink with a bounded queue.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use jasminetack_program::bounded_sink;
use spdlog::sink::Sink;

/// More lines than the queue of the sink holds.
const LINES: usize = 20_000;
const TIMEOUT: Duration = Duration::from_secs(5);

/// Output whose writes block until `is_open` is set.
#[derive(Clone, Default)]
struct BlockingOutput {
    is_open: Arc<AtomicBool>,
    text: Arc<std::sync::Mutex<String>>,
}

impl Write for BlockingOutput {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        while !self.is_open.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(5));
        }
        self.text.lock().expect("no writer panicked").push_str(&String::from_utf8_lossy(data));
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against threads that block while they log because the log's reader has stopped.
#[test]
fn blocked_output_does_not_block_logging_and_dropped_lines_are_counted() {
    let output = BlockingOutput::default();
    let sink = Arc::new(bounded_sink::BoundedSink::start(output.clone()).unwrap());
    let logger = spdlog::Logger::builder().sink(Arc::clone(&sink) as _).build().unwrap();
    let began = Instant::now();
    for line in 0..LINES {
        spdlog::info!(logger: logger, "line number={line}");
    }
    sink.flush().unwrap();
    assert!(began.elapsed() < TIMEOUT, "logging took {:?}", began.elapsed());
    output.is_open.store(true, Ordering::Relaxed);
    let end = Instant::now() + TIMEOUT;
    let text = loop {
        let text = output.text.lock().unwrap().clone();
        if text.contains("event=log-lines-dropped count=") || Instant::now() > end {
            break text;
        }
        thread::sleep(Duration::from_millis(20));
    };
    assert!(text.contains("event=line number=0\n"), "{:?}", &text[..200.min(text.len())]);
    let dropped = text.split("event=log-lines-dropped count=").nth(1).expect("a count");
    let dropped: usize = dropped.lines().next().unwrap().parse().unwrap();
    let written = text.matches("event=line ").count();
    assert!(dropped > 0 && written + dropped <= LINES, "{written} written, {dropped} dropped");
}
