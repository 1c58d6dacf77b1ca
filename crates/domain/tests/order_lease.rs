//! Tests of the lease under which orders are given.

use jasminetack_domain::locality;
use jasminetack_domain::name;
use jasminetack_domain::order_lease;
use proptest::prelude::*;

const TTL_MS: u64 = 12_000;
const GUARD_MS: u64 = 3_000;

fn row(expires_store_ms: u64) -> order_lease::LeaseRow {
    order_lease::LeaseRow {
        host: name::HostName::from("h"),
        address: ([127, 0, 0, 1], 80).into(),
        place: locality::Locality::new(
            name::RegionName::from("r"),
            name::FailureDomainName::from("a"),
        ),
        expires_store_ms,
    }
}

#[test]
fn a_lease_lasts_from_the_sending_of_its_renewal() {
    let mut lease = order_lease::Lease::new(TTL_MS);
    assert!(!lease.is_valid(0));
    lease.renewed(1_000);
    assert!(lease.is_valid(12_000));
    assert!(!lease.is_valid(13_000));
}

#[test]
fn a_released_lease_is_not_renewed_by_a_late_answer() {
    let mut lease = order_lease::Lease::new(TTL_MS);
    lease.renewed(1_000);
    lease.release();
    lease.renewed(2_000);
    assert!(!lease.is_valid(2_000));
}

#[test]
fn a_worker_is_free_when_the_guard_time_has_passed() {
    assert!(!row(5_000).is_free(GUARD_MS, 7_999));
    assert!(row(5_000).is_free(GUARD_MS, 8_000));
}

proptest! {
    /// The holder stops at least the guard time before anybody may take over, however slow the calls
    /// to the store are.
    #[test]
    fn the_holder_stops_before_others_may_begin(
        offset_ms in 0_u64..1_000_000,
        read_way_ms in 0_u64..500,
        read_back_ms in 0_u64..500,
        pause_ms in 0_u64..8_000,
        write_way_ms in 0_u64..1_000,
    ) {
        // The store's clock is ahead of the holder's by the offset.
        let mut clock = order_lease::StoreClock::default();
        let read_sent_ms = 100;
        clock.observe(read_sent_ms + read_way_ms + offset_ms, read_sent_ms);
        let write_sent_ms = read_sent_ms + read_way_ms + read_back_ms + pause_ms;
        let expires_store_ms = clock.latest_ms(write_sent_ms).unwrap() + TTL_MS;
        let mut lease = order_lease::Lease::new(TTL_MS);
        lease.renewed(write_sent_ms);
        let _ = write_way_ms;
        let free_store_ms = expires_store_ms + GUARD_MS;
        let free_holder_ms = free_store_ms - offset_ms;
        prop_assert!(row(expires_store_ms).is_free(GUARD_MS, free_store_ms));
        prop_assert!(!lease.is_valid(free_holder_ms - GUARD_MS));
    }
}
