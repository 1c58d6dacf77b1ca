//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Record of one run of a case; each line begins with the seconds since its start.
pub struct Record {
    file: Mutex<BufWriter<File>>,
    started: Instant,
}

impl Record {
    /// Creates the file of the record.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("a writable folder");
        Self { file: Mutex::new(BufWriter::new(file)), started: Instant::now() }
    }

    /// Returns the seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("the record");
        // A record that cannot be written does not change what the run shows.
        let _ = writeln!(file, "{:.3} {text}", self.seconds());
    }

    /// Writes all lines to the disk.
    pub fn flush(&self) {
        let _ = self.file.lock().expect("the record").flush();
    }
}
