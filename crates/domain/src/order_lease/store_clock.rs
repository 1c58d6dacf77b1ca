//! Bounds on the store's clock.

/// Maximum time from sending a call until the store reads its clock.
const MAX_READ_DELAY_MS: u64 = 1_200;

/// Maps between the store's clock and the local boot clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    /// Store time of the latest reading, and the boot time at which its call was sent.
    reading: Option<(u64, u64)>,
}

impl StoreClock {
    /// Records the store time returned by a call that was sent at `sent_boot_ms`.
    pub fn observe(&mut self, store_ms: u64, sent_boot_ms: u64) {
        if self.reading.is_none_or(|(known_ms, _)| store_ms >= known_ms) {
            self.reading = Some((store_ms, sent_boot_ms));
        }
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
