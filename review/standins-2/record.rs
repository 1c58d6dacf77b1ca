//! Record of what was sent, answered and run.

use std::fs::{self, File};
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::Instant;

/// Record of one run of a case; each line begins with the seconds since its start.
pub struct Record {
    file: Mutex<BufWriter<File>>,
    path: PathBuf,
    started: Instant,
}

impl Record {
    /// Creates the file of the record.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("a writable folder");
        let file = Mutex::new(BufWriter::new(file));
        Self { file, path: path.to_owned(), started: Instant::now() }
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

    /// Returns the lines that were written so far.
    pub fn read(&self) -> String {
        self.flush();
        fs::read_to_string(&self.path).unwrap_or_default()
    }

    /// Writes all lines to the disk.
    pub fn flush(&self) {
        let _ = self.file.lock().expect("the record").flush();
    }
}
