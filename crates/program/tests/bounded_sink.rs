//! Tests of the log sink that never waits for its reader.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use jasminetack_program::bounded_sink;
use spdlog::sink::Sink;

/// Beyond the lines that may wait.
const LINES: usize = 20_000;
const PATIENCE: Duration = Duration::from_secs(5);

/// A reader that reads only once it is let.
#[derive(Clone, Default)]
struct Reader {
    is_reading: Arc<AtomicBool>,
    text: Arc<std::sync::Mutex<String>>,
}

impl Write for Reader {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        while !self.is_reading.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(5));
        }
        self.text.lock().expect("no writer panicked").push_str(&String::from_utf8_lossy(data));
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_does_not_read_holds_nobody_back_and_lost_lines_are_counted() {
    let reader = Reader::default();
    let sink = Arc::new(bounded_sink::BoundedSink::start(reader.clone()).unwrap());
    let logger = spdlog::Logger::builder().sink(Arc::clone(&sink) as _).build().unwrap();
    let began = Instant::now();
    for line in 0..LINES {
        spdlog::info!(logger: logger, "line number={line}");
    }
    sink.flush().unwrap();
    assert!(began.elapsed() < PATIENCE, "logging took {:?}", began.elapsed());
    reader.is_reading.store(true, Ordering::Relaxed);
    let end = Instant::now() + PATIENCE;
    let text = loop {
        let text = reader.text.lock().unwrap().clone();
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
