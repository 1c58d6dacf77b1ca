//! Tests of the list of workers.

use jasminetack_domain::locality;
use jasminetack_domain::name;
use jasminetack_domain::upstream;

fn worker(name: &str, started_unix_ms: u64, is_draining: bool) -> upstream::Upstream {
    upstream::Upstream {
        name: name::WorkerName::from(name),
        service: name::ServiceName::from("llm"),
        address: ([127, 0, 0, 1], 80).into(),
        locality: locality::Locality::new(
            name::RegionName::from("r"),
            name::FailureDomainName::from("a"),
        ),
        slots: 4,
        is_draining,
        started_unix_ms,
        base_models: Vec::new(),
        adapters: Vec::new(),
    }
}

fn is_joined(change: Option<upstream::Change>) -> bool {
    matches!(change, Some(upstream::Change::Joined(_)))
}

#[test]
fn a_restart_under_the_same_name_counts_as_a_new_worker() {
    let mut directory = upstream::Directory::default();
    assert!(is_joined(directory.put(worker("w", 1, false))));
    assert_eq!(directory.put(worker("w", 1, false)), None);
    assert!(!is_joined(directory.put(worker("w", 1, true))));
    assert!(is_joined(directory.put(worker("w", 2, false))));
}

#[test]
fn an_entry_that_is_removed_in_ordinary_times_is_gone_at_once() {
    let mut directory = upstream::Directory::default();
    directory.reachable(1_000);
    directory.put(worker("w", 1, false));
    let gone = directory.remove(&name::WorkerName::from("w"), 10_000);
    assert_eq!(gone, Some(upstream::Change::Left(name::WorkerName::from("w"))));
    assert!(directory.iter().next().is_none());
}

#[test]
fn an_entry_that_lapsed_in_an_outage_has_two_seconds_to_come_back() {
    let mut directory = upstream::Directory::default();
    directory.reachable(1_000);
    directory.put(worker("back", 1, false));
    directory.put(worker("gone", 1, false));
    directory.unreachable();
    directory.reachable(20_000);
    for name in ["back", "gone"] {
        assert_eq!(directory.remove(&name::WorkerName::from(name), 20_000), None);
    }
    assert!(directory.expire(21_000).is_empty());
    directory.put(worker("back", 1, false));
    let left = directory.expire(20_000 + upstream::LAPSE_GRACE_MS);
    assert_eq!(left, [upstream::Change::Left(name::WorkerName::from("gone"))]);
    assert_eq!(directory.iter().count(), 1);
}

#[test]
fn a_worker_that_was_draining_does_not_come_back() {
    let mut directory = upstream::Directory::default();
    directory.reachable(1_000);
    directory.put(worker("w", 1, true));
    directory.unreachable();
    directory.reachable(20_000);
    assert!(directory.remove(&name::WorkerName::from("w"), 20_000).is_some());
}

#[test]
fn the_digest_depends_on_what_may_be_used_and_not_on_the_order() {
    let mut one = upstream::Directory::default();
    let mut other = upstream::Directory::default();
    one.put(worker("a", 1, false));
    one.put(worker("b", 1, false));
    other.put(worker("b", 1, false));
    assert_ne!(one.digest(), other.digest());
    other.put(worker("a", 1, false));
    assert_eq!(one.digest(), other.digest());
    other.put(worker("a", 1, true));
    assert_ne!(one.digest(), other.digest());
}
