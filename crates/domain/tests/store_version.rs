//! Tests of the order of store versions.

use jasminetack_domain::store_version::StoreVersion;
use proptest::prelude::*;

proptest! {
    /// Guards against versions that were assigned a second time after a restore being taken for those before it.
    #[test]
    fn versions_of_a_later_era_are_newer(
        era in 0_u64..4_000,
        later in 1_u64..4_000,
        number in 0_u64..1 << 40,
        reassigned in 0_u64..1 << 40,
    ) {
        let before = StoreVersion::new(era, number);
        let after = StoreVersion::new(era + later, reassigned);
        prop_assert!(after > before);
        prop_assert!(after.as_u64() > before.as_u64());
        prop_assert_eq!((after.era(), after.number()), (era + later, reassigned));
        prop_assert_eq!(StoreVersion::from(after.as_u64()), after);
    }
}

/// Guards against versions of a store that reports no era changing their values.
#[test]
fn versions_without_an_era_are_the_numbers_of_the_store() {
    assert_eq!(StoreVersion::new(0, 7).as_u64(), 7);
}

/// Guards against versions that wrap around and become older, or that JSON readers round.
#[test]
fn versions_out_of_range_stay_in_order() {
    let largest = StoreVersion::new(u64::MAX, u64::MAX);
    assert!(largest > StoreVersion::new(8_000, u64::MAX));
    assert!(largest.as_u64() < 1 << 53);
}
