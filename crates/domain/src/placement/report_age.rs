//! Age of reports.

/// Age of a report, judged by its number of accepted orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportAge {
    /// The report is not older than the last answer.
    Current,
    /// The report was made before the last answer.
    Outdated,
    /// The worker started anew.
    Restarted,
}
