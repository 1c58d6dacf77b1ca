//! Tests of the lease under which daemons send orders.

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
        era_start: order_lease::EraStart::default(),
    }
}

#[test]
fn lease_validity_starts_when_the_renewal_is_sent() {
    let mut lease = order_lease::Lease::new(TTL_MS);
    assert!(!lease.is_valid(0));
    lease.renewed(1_000);
    assert!(lease.is_valid(12_000));
    assert!(!lease.is_valid(13_000));
}

#[test]
fn released_lease_is_not_renewed_by_a_delayed_answer() {
    let mut lease = order_lease::Lease::new(TTL_MS);
    lease.renewed(1_000);
    lease.release();
    lease.renewed(2_000);
    assert!(!lease.is_valid(2_000));
}

#[test]
fn worker_can_be_taken_over_after_the_guard_time() {
    assert!(!row(5_000).can_be_taken_over(GUARD_MS, 7_999));
    assert!(row(5_000).can_be_taken_over(GUARD_MS, 8_000));
}

proptest! {
    /// Guards against the holder sending orders within the guard time before a takeover, for any
    /// delay of the calls to the store.
    #[test]
    fn holder_stops_before_a_takeover_is_allowed(
        offset_ms in 0_u64..1_000_000,
        read_request_ms in 0_u64..500,
        read_response_ms in 0_u64..500,
        pause_ms in 0_u64..8_000,
        write_request_ms in 0_u64..1_000,
    ) {
        // The store's clock is ahead of the holder's by the offset.
        let mut clock = order_lease::StoreClock::default();
        let read_sent_ms = 100;
        clock.observe(read_sent_ms + read_request_ms + offset_ms, read_sent_ms);
        let write_sent_ms = read_sent_ms + read_request_ms + read_response_ms + pause_ms;
        let expires_store_ms = clock.upper_bound_ms(write_sent_ms).unwrap() + TTL_MS;
        let mut lease = order_lease::Lease::new(TTL_MS);
        lease.renewed(write_sent_ms);
        // Validity counts from sending the write, so the delay of the write does not affect it.
        let _ = write_request_ms;
        let takeover_store_ms = expires_store_ms + GUARD_MS;
        let takeover_holder_ms = takeover_store_ms - offset_ms;
        prop_assert!(row(expires_store_ms).can_be_taken_over(GUARD_MS, takeover_store_ms));
        prop_assert!(!lease.is_valid(takeover_holder_ms - GUARD_MS));
    }
}
