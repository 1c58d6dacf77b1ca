//! Tests of leases and claims after a restore of the store.

use jasminetack_domain::locality;
use jasminetack_domain::name;
use jasminetack_domain::order_lease::{EraObservation, EraStart, LeaseRow, StoreEra};

const TTL_MS: u64 = 12_000;
const GUARD_MS: u64 = 3_000;
const WAIT_MS: u64 = TTL_MS + GUARD_MS;

fn lease(era: u64, by_store_ms: u64) -> LeaseRow {
    let (region, failure_domain) =
        (name::RegionName::from("r"), name::FailureDomainName::from("a"));
    LeaseRow {
        host: name::HostName::from("h"),
        address: ([127, 0, 0, 1], 80).into(),
        place: locality::Locality::new(region, failure_domain),
        expires_store_ms: 0,
        era_start: EraStart { era, by_store_ms },
    }
}

/// Returns the state of a daemon that has read rows in an era.
fn begun(eras: &[u64], rows: &[LeaseRow], store_ms: u64, now_ms: u64) -> StoreEra {
    let mut state = StoreEra::new(TTL_MS, GUARD_MS);
    for era in eras {
        state.observe(*era);
    }
    state.begin(rows.iter(), rows.is_empty(), store_ms, now_ms);
    state
}

/// Guards against a claim while a holder whose row was lost may still send orders.
#[test]
fn claims_wait_until_the_leases_from_before_a_restore_have_ended() {
    let mut state = begun(&[1, 2], &[lease(2, 4_000)], 5_000, 100_000);
    assert!(!state.may_claim(100_000 + 2 * WAIT_MS), "the daemon's own rows are not written");
    state.confirm();
    assert!(!state.may_claim(100_000 + WAIT_MS - 1));
    assert!(state.may_claim(100_000 + WAIT_MS));
}

/// Guards against a daemon that starts just after a restore, or before anybody has noticed it, and claims at once.
#[test]
fn a_daemon_that_starts_after_a_restore_waits_as_well() {
    let mut unnoticed = begun(&[2], &[lease(1, 0)], 5_000, 100_000);
    unnoticed.confirm();
    assert!(!unnoticed.may_claim(100_000 + WAIT_MS - 1));
    assert!(unnoticed.may_claim(100_000 + WAIT_MS));
    let mut noticed = begun(&[2], &[lease(1, 0), lease(2, 4_000)], 5_000, 100_000);
    noticed.confirm();
    assert!(!noticed.may_claim(100_000 + WAIT_MS - 1_001));
    assert!(noticed.may_claim(100_000 + WAIT_MS - 1_000));
}

/// Guards against taking a store that was restored from a copy without any rows for a new one.
#[test]
fn an_empty_store_that_was_restored_is_not_new() {
    let mut state = begun(&[2], &[], 5_000, 100_000);
    state.confirm();
    assert!(!state.may_claim(100_000 + WAIT_MS - 1));
}

/// Guards against needless waits: at the first start, long after a restore, and without a header of the era.
#[test]
fn claims_do_not_wait_without_a_recent_restore() {
    for (eras, rows) in [
        (vec![1], Vec::new()),
        (vec![3], vec![lease(3, 0)]),
        (vec![3], vec![lease(3, 400_000)]),
        (vec![0], vec![lease(0, 0)]),
    ] {
        let mut state = begun(&eras, &rows, 500_000, 100);
        state.confirm();
        assert!(state.may_claim(100), "{eras:?} {rows:?}");
    }
}

/// Guards against a restore that is forgotten, or ended early, because of a late response or of a second restore.
#[test]
fn each_restore_begins_the_wait_again_and_late_responses_do_not_count() {
    let mut state = begun(&[1, 2], &[], 5_000, 100_000);
    state.confirm();
    assert_eq!(state.observe(1), EraObservation::Outdated);
    assert!(state.is_confirmed());
    assert_eq!(state.observe(3), EraObservation::Restored { previous: 2 });
    assert!(!state.is_confirmed());
    assert!(!state.may_claim(100_000 + 2 * WAIT_MS), "the rows of the era have not been read");
    state.begin([].iter(), true, 9_000, 104_000);
    state.confirm();
    assert!(!state.may_claim(104_000 + WAIT_MS - 1));
    assert!(state.may_claim(104_000 + WAIT_MS));
}

/// Guards against filling a worker up that still executes the orders of a holder whose row the restore lost.
#[test]
fn a_worker_without_a_row_may_have_late_orders_for_some_time_after_a_restore() {
    const LATE_MS: u64 = 13_000;
    let restored = begun(&[1, 2], &[], 5_000, 100_000);
    assert!(restored.may_have_been_held(false, LATE_MS, 100_000 + WAIT_MS + LATE_MS - 1));
    assert!(!restored.may_have_been_held(false, LATE_MS, 100_000 + WAIT_MS + LATE_MS));
    let long_ago = begun(&[2], &[lease(2, 400_000)], 500_000, 200_000);
    assert!(!long_ago.may_have_been_held(false, LATE_MS, 200_000));
    let never = begun(&[0], &[], 5_000, 100);
    assert!(!never.may_have_been_held(false, LATE_MS, 100));
    assert!(never.may_have_been_held(true, LATE_MS, 100));
}
