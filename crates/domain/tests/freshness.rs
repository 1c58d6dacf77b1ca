//! Tests of the rule on serving from an unconfirmed table.

use jasminetack_domain::name;
use jasminetack_domain::table;

const STALE_MS: u64 = 15_000;

fn hosts(count: usize) -> Vec<name::HostName> {
    (0..count).map(|index| name::HostName::from(format!("h{index}"))).collect()
}

fn judge(freshness: &table::Freshness, others: &[name::HostName], now_ms: u64) -> table::Standing {
    freshness.judge(5, others.iter(), now_ms)
}

/// Guards against a platform outage that stops everything, and against a cut-off daemon that serves
/// an old table.
#[test]
fn majority_without_a_current_peer_is_an_outage_and_a_minority_is_cut_off() {
    let others = hosts(4);
    let mut freshness = table::Freshness::new(STALE_MS);
    assert_eq!(judge(&freshness, &others, 0), table::Standing::NoTable);
    freshness.confirmed_by_platform(0);
    assert_eq!(judge(&freshness, &others, 15_000), table::Standing::Current);
    assert_eq!(judge(&freshness, &others, 15_001), table::Standing::CutOff);
    freshness.peer_reported(&others[0], 5, Some(16_000), 16_000);
    assert_eq!(judge(&freshness, &others, 16_000), table::Standing::CutOff);
    freshness.peer_reported(&others[1], 5, None, 16_000);
    assert_eq!(judge(&freshness, &others, 16_000), table::Standing::Outage);
    assert_eq!(judge(&freshness, &others, 32_000), table::Standing::CutOff);
}

/// Guards against a daemon that takes a peer's confirmation although the peer has newer rows.
#[test]
fn confirmation_of_a_peer_counts_once_its_rows_are_applied() {
    let others = hosts(2);
    let mut freshness = table::Freshness::new(STALE_MS);
    freshness.confirmed_by_platform(0);
    freshness.peer_reported(&others[0], 6, Some(1_000), 20_000);
    freshness.adopt(5);
    assert_eq!(judge(&freshness, &others, 20_000), table::Standing::CutOff);
    assert_eq!(freshness.peer_ahead(5, 20_000), Some(&others[0]));
    freshness.adopt(6);
    assert_eq!(freshness.judge(6, others.iter(), 20_000), table::Standing::Current);
}

/// Guards against a daemon that starts alone during an outage and serves an empty table.
#[test]
fn daemon_that_starts_during_an_outage_needs_peers() {
    let others = hosts(2);
    let mut freshness = table::Freshness::new(STALE_MS);
    assert_eq!(freshness.judge(5, [].iter(), 0), table::Standing::NoTable);
    freshness.peer_reported(&others[0], 6, Some(20_000), 1_000);
    assert_eq!(freshness.judge(5, others.iter(), 1_000), table::Standing::NoTable);
    assert_eq!(freshness.judge(6, others.iter(), 1_000), table::Standing::Outage);
}
