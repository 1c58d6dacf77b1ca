//! Holder side of a lease.

/// Safety margin at the end of the lease for drift between the clocks of two machines.
const CLOCK_MARGIN_MS: u64 = 250;

/// Lease of the local daemon, measured by a clock that keeps running while the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    ttl_ms: u64,
    valid_until_boot_ms: u64,
    is_released: bool,
}

impl Lease {
    /// Creates a lease that is not held yet.
    #[must_use]
    pub fn new(ttl_ms: u64) -> Self {
        Self { ttl_ms, valid_until_boot_ms: 0, is_released: false }
    }

    /// Returns the duration of a renewal.
    #[must_use]
    pub fn ttl_ms(&self) -> u64 {
        self.ttl_ms
    }

    /// Records that the store accepted a renewal sent at `sent_boot_ms`.
    pub fn renewed(&mut self, sent_boot_ms: u64) {
        if self.is_released {
            return;
        }
        let until_ms = (sent_boot_ms + self.ttl_ms).saturating_sub(CLOCK_MARGIN_MS);
        self.valid_until_boot_ms = self.valid_until_boot_ms.max(until_ms);
    }

    /// Releases the lease permanently.
    pub fn release(&mut self) {
        self.is_released = true;
        self.valid_until_boot_ms = 0;
    }

    /// Returns whether orders may be sent at `boot_ms`.
    #[must_use]
    pub fn is_valid(&self, boot_ms: u64) -> bool {
        boot_ms < self.valid_until_boot_ms
    }
}
