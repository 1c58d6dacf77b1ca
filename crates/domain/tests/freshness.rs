//! Tests of the staleness check of the table.

use jasminetack_domain::name;
use jasminetack_domain::table;

const STALE_MS: u64 = 15_000;

fn hosts(count: usize) -> Vec<name::HostName> {
    (0..count).map(|index| name::HostName::from(format!("h{index}"))).collect()
}

fn status(
    freshness: &table::Freshness,
    others: &[name::HostName],
    now_ms: u64,
) -> table::FreshnessStatus {
    freshness.status(5, others.iter(), now_ms)
}

/// Guards against refusing all requests during a platform outage, and against a partitioned daemon
/// that serves an outdated table.
#[test]
fn majority_without_a_current_peer_is_an_outage_and_a_minority_is_partitioned() {
    let others = hosts(4);
    let mut freshness = table::Freshness::new(STALE_MS);
    assert_eq!(status(&freshness, &others, 0), table::FreshnessStatus::NoTable);
    freshness.record_platform_confirmation(0);
    assert_eq!(status(&freshness, &others, 15_000), table::FreshnessStatus::Current);
    assert_eq!(status(&freshness, &others, 15_001), table::FreshnessStatus::Partitioned);
    freshness.record_peer_report(&others[0], 5, Some(16_000), 16_000);
    assert_eq!(status(&freshness, &others, 16_000), table::FreshnessStatus::Partitioned);
    freshness.record_peer_report(&others[1], 5, None, 16_000);
    assert_eq!(status(&freshness, &others, 16_000), table::FreshnessStatus::PlatformOutage);
    assert_eq!(status(&freshness, &others, 32_000), table::FreshnessStatus::Partitioned);
}

/// Guards against taking over a peer's confirmation before the peer's newer rows are applied.
#[test]
fn confirmation_of_a_peer_counts_once_its_rows_are_applied() {
    let others = hosts(2);
    let mut freshness = table::Freshness::new(STALE_MS);
    freshness.record_platform_confirmation(0);
    freshness.record_peer_report(&others[0], 6, Some(1_000), 20_000);
    freshness.apply_peer_confirmations(5);
    assert_eq!(status(&freshness, &others, 20_000), table::FreshnessStatus::Partitioned);
    assert_eq!(freshness.peer_ahead(5, 20_000), Some(&others[0]));
    freshness.apply_peer_confirmations(6);
    assert_eq!(freshness.status(6, others.iter(), 20_000), table::FreshnessStatus::Current);
}

/// Guards against serving an empty or incomplete table after a start during a platform outage.
#[test]
fn daemon_that_starts_during_an_outage_needs_peers() {
    let others = hosts(2);
    let mut freshness = table::Freshness::new(STALE_MS);
    assert_eq!(freshness.status(5, [].iter(), 0), table::FreshnessStatus::NoTable);
    freshness.record_peer_report(&others[0], 6, Some(20_000), 1_000);
    assert_eq!(freshness.status(5, others.iter(), 1_000), table::FreshnessStatus::NoTable);
    assert_eq!(freshness.status(6, others.iter(), 1_000), table::FreshnessStatus::PlatformOutage);
}
