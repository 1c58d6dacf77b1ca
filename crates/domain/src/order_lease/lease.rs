//! The holder's side of a lease.

/// Part of the lease that is left unused against differences between the clocks of two machines.
const CLOCK_MARGIN_MS: u64 = 250;

/// Lease of this daemon, judged by a clock that goes on while the machine is suspended.
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

    /// Returns how long a renewal lasts.
    #[must_use]
    pub fn ttl_ms(&self) -> u64 {
        self.ttl_ms
    }

    /// Notes that a renewal which was sent at `sent_boot_ms` is in the store.
    pub fn renewed(&mut self, sent_boot_ms: u64) {
        if self.is_released {
            return;
        }
        let until_ms = (sent_boot_ms + self.ttl_ms).saturating_sub(CLOCK_MARGIN_MS);
        self.valid_until_boot_ms = self.valid_until_boot_ms.max(until_ms);
    }

    /// Gives the lease up for good.
    pub fn release(&mut self) {
        self.is_released = true;
        self.valid_until_boot_ms = 0;
    }

    /// Returns whether orders may be sent now.
    #[must_use]
    pub fn is_valid(&self, boot_ms: u64) -> bool {
        boot_ms < self.valid_until_boot_ms
    }
}
