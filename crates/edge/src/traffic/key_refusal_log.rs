//! Log lines about refused keys at a bounded rate.

use jasminetack_domain::team;
use parking_lot::Mutex;

/// Lines that are written in each interval; callers can send any number of wrong keys.
const MAX_LINES: u32 = 20;
const INTERVAL_MS: u64 = 1_000;

/// Writes log lines about refused keys and counts those that it leaves out.
#[derive(Debug, Default)]
pub struct KeyRefusalLog {
    interval: Mutex<Interval>,
}

#[derive(Debug, Default)]
struct Interval {
    started_ms: u64,
    lines: u32,
    /// Lines left out since the last one that was written.
    suppressed: u64,
}

impl KeyRefusalLog {
    /// Logs a refused key unless too many were logged in the current interval.
    pub fn record(
        &self,
        key: Option<&team::KeyDigest>,
        reason: &str,
        route: &str,
        configuration: u64,
        now_ms: u64,
    ) {
        let Some(suppressed) = self.interval.lock().begin_line(now_ms) else { return };
        let key = key.map_or_else(|| "none".to_owned(), ToString::to_string);
        spdlog::info!(
            "key-refused key={key} reason={reason} route={route} configuration={configuration} suppressed={suppressed}"
        );
    }
}

impl Interval {
    /// Returns the number of lines left out before this one, or `None` if this one is left out too.
    fn begin_line(&mut self, now_ms: u64) -> Option<u64> {
        if now_ms.saturating_sub(self.started_ms) >= INTERVAL_MS {
            self.started_ms = now_ms;
            self.lines = 0;
        }
        if self.lines >= MAX_LINES {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
