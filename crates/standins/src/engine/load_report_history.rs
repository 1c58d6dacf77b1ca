//! Load reports that lag behind reality.

use std::collections::VecDeque;

use jasminetack_wire::engine;

/// Load reports of the recent past.
#[derive(Debug)]
pub struct LoadReportHistory {
    lag_ms: u64,
    reports: VecDeque<(u64, engine::LoadReport)>,
}

impl LoadReportHistory {
    /// Creates a log that shows reports of a given age.
    #[must_use]
    pub fn new(lag_ms: u64) -> Self {
        Self { lag_ms, reports: VecDeque::new() }
    }

    /// Records the present load.
    pub fn record(&mut self, report: engine::LoadReport, now_ms: u64) {
        if let Some((at_ms, last)) = self.reports.back_mut()
            && *at_ms == now_ms
        {
            *last = report;
            return;
        }
        self.reports.push_back((now_ms, report));
        // The newest report that is old enough is the one shown; all before it are not needed.
        while let Some((at_ms, _)) = self.reports.get(1)
            && at_ms + self.lag_ms <= now_ms
        {
            self.reports.pop_front();
        }
    }

    /// Returns the load as it was some time ago.
    #[must_use]
    pub fn at(&self, now_ms: u64) -> engine::LoadReport {
        let old_enough = |(at_ms, _): &&(u64, engine::LoadReport)| at_ms + self.lag_ms <= now_ms;
        let found = self.reports.iter().rev().find(old_enough);
        let report = found.map(|(_, report)| report.clone()).unwrap_or_default();
        engine::LoadReport { age_ms: self.lag_ms, ..report }
    }
}
