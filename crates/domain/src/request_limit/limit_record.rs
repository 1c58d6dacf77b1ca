//! What is known of the limit of one worker process.

/// What is known of the limit of one worker process.
///
/// Daemons exchange records and keep the newest part of each. Times are those of the store's clock, so
/// that the delay of a message does not make its content look newer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitRecord {
    /// Start of the worker process in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// The limit that the worker stated last.
    pub stated: Option<StatedLimit>,
    /// Time at which the latest request was sent whose response stated no limit.
    pub unlimited_store_ms: u64,
}

/// A limit as stated by a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedLimit {
    /// Requests per second that the worker accepts.
    pub limit_per_s: f64,
    /// Time at which the response arrived.
    pub observed_store_ms: u64,
}

impl LimitRecord {
    /// Returns the limit that is in force.
    ///
    /// A response without a limit ends it only if its request was sent after the limit was stated: the
    /// response to an earlier one may have been produced before.
    #[must_use]
    pub fn limit_per_s(&self) -> Option<f64> {
        let stated = self.stated?;
        (stated.observed_store_ms >= self.unlimited_store_ms).then_some(stated.limit_per_s)
    }

    /// Returns the time of the newest part.
    #[must_use]
    pub fn updated_store_ms(&self) -> u64 {
        let observed_store_ms = self.stated.map_or(0, |stated| stated.observed_store_ms);
        observed_store_ms.max(self.unlimited_store_ms)
    }

    /// Merges a record of the same worker; that of a process that started later replaces this one.
    pub fn merge(&mut self, other: &Self) {
        if other.started_unix_ms > self.started_unix_ms {
            *self = *other;
        }
        if other.started_unix_ms < self.started_unix_ms {
            return;
        }
        let is_newer = |stated: &StatedLimit| {
            self.stated.is_none_or(|known| known.observed_store_ms < stated.observed_store_ms)
        };
        if let Some(stated) = other.stated.filter(is_newer) {
            self.stated = Some(stated);
        }
        self.unlimited_store_ms = self.unlimited_store_ms.max(other.unlimited_store_ms);
    }
}
