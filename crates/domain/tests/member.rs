//! Tests of membership, failure detectors and the gossip store.

use std::net::SocketAddr;
use std::sync::Arc;

use jasminetack_domain::lease;
use jasminetack_domain::locality;
use jasminetack_domain::member::{self, Detector};
use jasminetack_domain::name;

fn observe(membership: &mut member::Membership, host: &str, region: &str) {
    let row = lease::SessionRow {
        host: name::HostName::from(host),
        incarnation: lease::Incarnation::new(1),
        state: lease::SessionState::Live,
        renewals: 0,
        table_version: 0,
        host_incarnation: 0,
        place: locality::Locality::new(
            name::RegionName::from(region),
            name::FailureDomainName::from("a"),
        ),
        peers_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        ops_address: None,
    };
    membership.observe(lease::Stored::new(1, row), 0);
}

/// Guards against a single partitioned monitor marking a healthy daemon as suspected.
#[test]
fn daemon_is_suspected_by_more_than_half_of_its_monitors_only() {
    let mut membership = member::Membership::new(name::HostName::from("a"), 3);
    for host in ["a", "b", "c", "d", "e"] {
        observe(&mut membership, host, "north");
    }
    let suspect =
        lease::Holder { host: name::HostName::from("b"), incarnation: lease::Incarnation::new(1) };
    let monitors: Vec<_> = membership.monitors_of(&suspect.host).into_iter().cloned().collect();
    assert_eq!(monitors.len(), 3);
    assert!(!membership.record_suspicion(&suspect, &monitors[0], true));
    assert!(membership.record_suspicion(&suspect, &monitors[1], true));
    assert!(membership.is_suspected(&suspect.host));
    assert!(membership.record_suspicion(&suspect, &monitors[0], false));
    assert!(!membership.is_suspected(&suspect.host));
}

/// Guards against a daemon without monitors when it is the only one in its region.
#[test]
fn monitors_come_from_other_regions_when_the_local_region_has_too_few() {
    let mut membership = member::Membership::new(name::HostName::from("a"), 3);
    for (host, region) in [("a", "north"), ("b", "north"), ("c", "south"), ("d", "south")] {
        observe(&mut membership, host, region);
    }
    let monitors = membership.monitors_of(&name::HostName::from("a"));
    assert_eq!(monitors.len(), 3);
    assert_eq!(monitors[0].as_str(), "b");
}

/// Guards against detectors that mispredict regular intervals or never suspect a silent sender.
#[test]
fn detectors_expect_the_next_heartbeat_and_suspect_silence() {
    let mut fixed = member::FixedTimeout::new(1_500, 0);
    let mut deviation = member::MeanDeviation::new(4.0, 1_000, 1_500, 0);
    let mut grey = member::GreyPrediction::new(1_000, 1_500, 0);
    for beat in 1..=20 {
        fixed.record_heartbeat(beat * 500);
        deviation.record_heartbeat(beat * 500);
        grey.record_heartbeat(beat * 500);
    }
    assert!((grey.predicted_ms() - 500.0).abs() < 1.0, "{}", grey.predicted_ms());
    for suspected_from_ms in
        [fixed.suspected_from_ms(), deviation.suspected_from_ms(), grey.suspected_from_ms()]
    {
        assert!((11_498..=11_502).contains(&suspected_from_ms), "{suspected_from_ms}");
    }
}

/// Guards against a stale entry replacing a newer one, and against digests that miss a difference.
#[test]
fn digests_differ_exactly_where_entries_differ() {
    let entry = |subject: &str, version, state| member::GossipEntry {
        subject: Arc::from(subject),
        version,
        state,
    };
    let (mut one, mut other) = (member::GossipStore::default(), member::GossipStore::default());
    for index in 0..200 {
        let subject = format!("worker/w{index}");
        one.merge(entry(&subject, 1, 'a'));
        other.merge(entry(&subject, 1, 'a'));
    }
    assert!(one.differing_buckets(other.digest()).is_empty());
    assert_eq!(one.merge(entry("worker/w7", 2, 'b')), member::MergeOutcome::Applied);
    assert_eq!(one.merge(entry("worker/w7", 1, 'c')), member::MergeOutcome::Stale);
    let buckets = other.differing_buckets(one.digest());
    assert_eq!(buckets.len(), 1);
    for entry in one.entries_in_buckets(&buckets) {
        other.merge(entry);
    }
    assert!(one.differing_buckets(other.digest()).is_empty());
    one.remove("worker/w7");
    other.remove("worker/w7");
    assert!(one.differing_buckets(other.digest()).is_empty());
}
