//! Recent load reports, to serve stale ones.

use std::collections::VecDeque;

use jasminetack_wire::engine;

/// Recent load reports with the time of each.
#[derive(Debug)]
pub struct LoadReportHistory {
    lag_ms: u64,
    reports: VecDeque<(u64, engine::LoadReport)>,
}

impl LoadReportHistory {
    /// Creates a history that serves reports with a staleness of `lag_ms`.
    #[must_use]
    pub fn new(lag_ms: u64) -> Self {
        Self { lag_ms, reports: VecDeque::new() }
    }

    /// Records the current load.
    pub fn record(&mut self, report: engine::LoadReport, now_ms: u64) {
        if let Some((at_ms, last)) = self.reports.back_mut()
            && *at_ms == now_ms
        {
            *last = report;
            return;
        }
        self.reports.push_back((now_ms, report));
        // Only the newest report that is at least `lag_ms` old is served; drop all older ones.
        while let Some((at_ms, _)) = self.reports.get(1)
            && at_ms + self.lag_ms <= now_ms
        {
            self.reports.pop_front();
        }
    }

    /// Returns the load as of `lag_ms` before `now_ms`.
    #[must_use]
    pub fn at(&self, now_ms: u64) -> engine::LoadReport {
        let old_enough = |(at_ms, _): &&(u64, engine::LoadReport)| at_ms + self.lag_ms <= now_ms;
        let found = self.reports.iter().rev().find(old_enough);
        let report = found.map(|(_, report)| report.clone()).unwrap_or_default();
        engine::LoadReport { age_ms: self.lag_ms, ..report }
    }
}
