//! Estimate of the store's clock.

/// Longest time from the sending of a call to the store's reading of its clock.
const READING_MS: u64 = 1_200;

/// Relates the store's clock to this host's.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    reading: Option<(u64, u64)>,
}

impl StoreClock {
    /// Takes in a time that the store sent with the answer to a call that began at `sent_boot_ms`.
    pub fn observe(&mut self, store_ms: u64, sent_boot_ms: u64) {
        if self.reading.is_none_or(|(known_ms, _)| store_ms >= known_ms) {
            self.reading = Some((store_ms, sent_boot_ms));
        }
    }

    /// Returns the time of this host's clock at which the store's clock has passed a time.
    #[must_use]
    pub fn passes_boot_ms(&self, store_ms: u64) -> Option<u64> {
        let (known_ms, sent_boot_ms) = self.reading?;
        // The store's clock read `known_ms` when the call had been sent already.
        Some(sent_boot_ms + READING_MS + store_ms.saturating_sub(known_ms))
    }

    /// Returns a time that the store's clock has not passed yet.
    #[must_use]
    pub fn latest_ms(&self, boot_ms: u64) -> Option<u64> {
        let (store_ms, sent_boot_ms) = self.reading?;
        Some(store_ms + boot_ms.saturating_sub(sent_boot_ms))
    }
}
