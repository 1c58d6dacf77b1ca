//! Bounds on the store's clock.

/// Maximum time from sending a call until the store reads its clock.
const MAX_READ_DELAY_MS: u64 = 1_200;

/// Rate by which the two clocks may drift apart.
const MAX_DRIFT_MS_PER_MS: f64 = 1e-4;

/// Maps between the store's clock and the local boot clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    /// Store time of the latest reading, and the boot time at which its call was sent.
    reading: Option<(u64, u64)>,
    /// By how much the store's clock is ahead at most, from the reading with the shortest delay, and the
    /// boot time of that reading.
    ahead: Option<(f64, u64)>,
    /// By how much the store's clock is ahead at least, and the boot time of that reading.
    min_ahead: Option<(f64, u64)>,
}

impl StoreClock {
    /// Records the store time returned by a call that was sent at `sent_boot_ms`.
    pub fn observe(&mut self, store_ms: u64, sent_boot_ms: u64) {
        if self.reading.is_none_or(|(known_ms, _)| store_ms >= known_ms) {
            self.reading = Some((store_ms, sent_boot_ms));
            let ahead_ms = store_ms as f64 - sent_boot_ms as f64;
            if self.ahead_bound_ms(sent_boot_ms).is_none_or(|known_ms| ahead_ms <= known_ms) {
                self.ahead = Some((ahead_ms, sent_boot_ms));
            }
        }
    }

    /// Records the store time of a response that was received by `received_boot_ms`.
    pub fn observe_receipt(&mut self, store_ms: u64, received_boot_ms: u64) {
        let ahead_ms = store_ms as f64 - received_boot_ms as f64;
        let known_ms = self.min_ahead_bound_ms(received_boot_ms);
        if known_ms.is_none_or(|known_ms| ahead_ms >= known_ms) {
            self.min_ahead = Some((ahead_ms, received_boot_ms));
        }
    }

    /// Returns by how much the store's clock is ahead of the boot clock at least.
    #[must_use]
    pub fn min_ahead_ms(&self, boot_ms: u64) -> Option<i64> {
        self.min_ahead_bound_ms(boot_ms).map(|ahead_ms| ahead_ms.floor() as i64)
    }

    fn min_ahead_bound_ms(&self, boot_ms: u64) -> Option<f64> {
        let (ahead_ms, since_boot_ms) = self.min_ahead?;
        Some(ahead_ms - boot_ms.saturating_sub(since_boot_ms) as f64 * MAX_DRIFT_MS_PER_MS)
    }

    /// Returns by how much the store's clock is ahead of the boot clock, which is negative if it is
    /// behind. The error is the shortest delay of a call on its way to the store.
    #[must_use]
    pub fn ahead_ms(&self, boot_ms: u64) -> Option<i64> {
        self.ahead_bound_ms(boot_ms).map(|ahead_ms| ahead_ms as i64)
    }

    fn ahead_bound_ms(&self, boot_ms: u64) -> Option<f64> {
        let (ahead_ms, since_boot_ms) = self.ahead?;
        Some(ahead_ms + boot_ms.saturating_sub(since_boot_ms) as f64 * MAX_DRIFT_MS_PER_MS)
    }

    /// Returns a boot time by which the store's clock has reached `store_ms`.
    #[must_use]
    pub fn boot_ms_when_passed(&self, store_ms: u64) -> Option<u64> {
        let (known_ms, sent_boot_ms) = self.reading?;
        // The store read its clock within the maximum delay after the call was sent.
        Some(sent_boot_ms + MAX_READ_DELAY_MS + store_ms.saturating_sub(known_ms))
    }

    /// Returns an upper bound of the store's clock at `boot_ms`.
    #[must_use]
    pub fn upper_bound_ms(&self, boot_ms: u64) -> Option<u64> {
        let (store_ms, sent_boot_ms) = self.reading?;
        Some(store_ms + boot_ms.saturating_sub(sent_boot_ms))
    }
}
