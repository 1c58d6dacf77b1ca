//! Versions of the metadata store, ordered across its restores.

/// Number of bits for the number within an era: 2^40 transactions are 87 years at 400 a second.
const NUMBER_BITS: u32 = 40;
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
/// 2^13 eras keep versions within the 53 bits that JSON readers represent exactly.
const MAX_ERA: u64 = (1 << 13) - 1;

/// Version of a row, or of the store as a whole.
///
/// A store that is restored from an older copy assigns the numbers after that copy a second time. The era, which
/// the store increments with each restore, tells the two apart and takes precedence in the order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreVersion(u64);

impl StoreVersion {
    /// Creates a version from an era and a number within it; a store that reports no era is in era 0.
    ///
    /// Larger values than fit are replaced by the largest that does, so that versions are never reordered.
    #[must_use]
    pub fn new(era: u64, number: u64) -> Self {
        Self(era.min(MAX_ERA) << NUMBER_BITS | number.min(MAX_NUMBER))
    }

    /// Returns the era.
    #[must_use]
    pub fn era(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Returns the number as assigned by the store.
    #[must_use]
    pub fn number(self) -> u64 {
        self.0 & MAX_NUMBER
    }

    /// Returns both parts as one integer, which has the same order.
    #[must_use]
    pub fn as_u64(self) -> u64 {
        self.0
    }
}

impl From<u64> for StoreVersion {
    /// Restores a version from the integer returned by [`StoreVersion::as_u64`].
    fn from(value: u64) -> Self {
        Self(value)
    }
}
