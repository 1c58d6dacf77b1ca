//! Times of the metadata store's clock, ordered across its restores.

/// Time of the store's clock in one of its eras.
///
/// The clock of a restored store may show an earlier time than before, so the era takes precedence in the order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreTime {
    /// The era; 0 if the store reports none.
    pub era: u64,
    /// Time of the store's clock.
    pub store_ms: u64,
}

impl StoreTime {
    /// Creates a time in an era.
    #[must_use]
    pub fn new(era: u64, store_ms: u64) -> Self {
        Self { era, store_ms }
    }

    /// Returns how long ago this time was; `None` if the store has been restored since.
    #[must_use]
    pub fn age_ms(self, now: Self) -> Option<u64> {
        if self.era < now.era {
            return None;
        }
        if self.era > now.era {
            return Some(0);
        }
        Some(now.store_ms.saturating_sub(self.store_ms))
    }
}
