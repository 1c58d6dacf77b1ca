//! Tests of the directory of workers.

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
fn restart_under_the_same_name_is_reported_as_a_new_worker() {
    let mut directory = upstream::Directory::default();
    assert!(is_joined(directory.upsert(worker("w", 1, false))));
    assert_eq!(directory.upsert(worker("w", 1, false)), None);
    assert!(!is_joined(directory.upsert(worker("w", 1, true))));
    assert!(is_joined(directory.upsert(worker("w", 2, false))));
}

#[test]
fn entry_removed_without_an_outage_is_dropped_at_once() {
    let mut directory = upstream::Directory::default();
    directory.mark_reachable(1_000, 1_000);
    directory.upsert(worker("w", 1, false));
    let gone = directory.remove(&name::WorkerName::from("w"), 10_000);
    assert_eq!(gone, Some(upstream::Change::Left(name::WorkerName::from("w"))));
    assert!(directory.iter().next().is_none());
}

#[test]
fn entry_expired_during_an_outage_has_two_seconds_to_register_again() {
    let mut directory = upstream::Directory::default();
    directory.mark_reachable(1_000, 1_000);
    directory.upsert(worker("back", 1, false));
    directory.upsert(worker("gone", 1, false));
    directory.mark_unreachable();
    directory.mark_reachable(20_000, 20_000);
    for name in ["back", "gone"] {
        assert_eq!(directory.remove(&name::WorkerName::from(name), 20_000), None);
    }
    assert!(directory.remove_expired(21_000).is_empty());
    directory.upsert(worker("back", 1, false));
    let left = directory.remove_expired(20_000 + upstream::REREGISTRATION_GRACE_MS);
    assert_eq!(left, [upstream::Change::Left(name::WorkerName::from("gone"))]);
    assert_eq!(directory.iter().count(), 1);
}

#[test]
fn entry_missing_after_the_own_cut_gets_no_grace_period_while_others_read_the_list() {
    let series = |until_store_ms| upstream::ReadSeries { since_store_ms: 500, until_store_ms };
    let gone = name::WorkerName::from("gone");
    let left = [upstream::Change::Left(gone.clone())];
    // The other daemon's reads are known before or after this daemon reads the list again.
    for is_known_before in [true, false] {
        let mut directory = upstream::Directory::default();
        directory.mark_reachable(1_000, 1_000);
        directory.upsert(worker("gone", 1, false));
        directory.mark_unreachable();
        if is_known_before {
            directory.observe_series(series(19_000));
        }
        directory.mark_reachable(20_000, 20_000);
        let removed = directory.remove(&gone, 20_000);
        if is_known_before {
            assert_eq!(removed.as_slice(), left);
            continue;
        }
        assert_eq!(removed, None);
        directory.observe_series(series(20_300));
        assert_eq!(directory.remove_expired(20_300), left);
    }
}

#[test]
fn reads_of_others_before_an_outage_do_not_shorten_the_grace_period() {
    let mut directory = upstream::Directory::default();
    directory.mark_reachable(1_000, 1_000);
    directory.upsert(worker("w", 1, false));
    directory.mark_unreachable();
    let before = upstream::ReadSeries { since_store_ms: 500, until_store_ms: 12_000 };
    directory.observe_series(before);
    directory.mark_reachable(20_000, 20_000);
    assert_eq!(directory.remove(&name::WorkerName::from("w"), 20_000), None);
    let after = upstream::ReadSeries { since_store_ms: 19_500, until_store_ms: 20_100 };
    directory.observe_series(after);
    assert!(directory.remove_expired(21_400).is_empty());
    assert_eq!(directory.remove_expired(21_500).len(), 1);
}

#[test]
fn draining_worker_gets_no_grace_period() {
    let mut directory = upstream::Directory::default();
    directory.mark_reachable(1_000, 1_000);
    directory.upsert(worker("w", 1, true));
    directory.mark_unreachable();
    directory.mark_reachable(20_000, 20_000);
    assert!(directory.remove(&name::WorkerName::from("w"), 20_000).is_some());
}

#[test]
fn digest_depends_on_the_worker_set_and_not_on_its_order() {
    let mut one = upstream::Directory::default();
    let mut other = upstream::Directory::default();
    one.upsert(worker("a", 1, false));
    one.upsert(worker("b", 1, false));
    other.upsert(worker("b", 1, false));
    assert_ne!(one.digest(), other.digest());
    other.upsert(worker("a", 1, false));
    assert_eq!(one.digest(), other.digest());
    other.upsert(worker("a", 1, true));
    assert_ne!(one.digest(), other.digest());
}

#[test]
fn digest_is_that_of_the_present_entries_whatever_came_before() {
    let mut changed = upstream::Directory::default();
    changed.mark_reachable(1_000, 1_000);
    changed.upsert(worker("a", 1, false));
    changed.upsert(worker("b", 1, false));
    changed.upsert(worker("a", 2, true));
    changed.upsert(worker("a", 3, false));
    changed.remove(&name::WorkerName::from("b"), 10_000);
    changed.upsert(worker("c", 1, false));
    changed.mark_unreachable();
    changed.mark_reachable(20_000, 20_000);
    changed.remove(&name::WorkerName::from("c"), 20_000);
    changed.remove_expired(30_000);
    let mut fresh = upstream::Directory::default();
    fresh.upsert(worker("a", 3, false));
    assert_eq!(changed.digest(), fresh.digest());
    for other in [worker("a", 2, false), worker("a", 3, true), worker("b", 3, false)] {
        let mut directory = upstream::Directory::default();
        directory.upsert(other);
        assert_ne!(directory.digest(), fresh.digest());
    }
}

#[test]
fn a_worker_that_is_kept_without_an_entry_does_not_confirm_copies_that_list_it() {
    let mut kept = upstream::Directory::default();
    let mut listed = upstream::Directory::default();
    kept.mark_reachable(1_000, 1_000);
    for directory in [&mut kept, &mut listed] {
        directory.upsert(worker("stays", 1, false));
        directory.upsert(worker("leaves", 1, false));
    }
    let leaves = name::WorkerName::from("leaves");
    assert_eq!(kept.remove(&leaves, 1_500), None);
    assert!(kept.get(&leaves).is_some());
    assert_ne!(kept.digest(), listed.digest());
    let mut dropped = listed.clone();
    dropped.remove(&leaves, 1_500);
    assert_eq!(kept.digest(), dropped.digest());
    let mut registered = kept.clone();
    registered.upsert(worker("leaves", 1, false));
    assert_eq!(registered.digest(), listed.digest());
    kept.remove_expired(1_000 + upstream::REREGISTRATION_GRACE_MS);
    assert_eq!(kept.digest(), dropped.digest());
}

#[test]
fn copies_with_a_different_entry_of_a_worker_do_not_confirm_each_other() {
    let digest = |upstream: upstream::Upstream| {
        let mut directory = upstream::Directory::default();
        directory.upsert(upstream);
        directory.digest()
    };
    let known = worker("w", 1, false);
    let base_models = |name: &str| vec![name::BaseModelName::from(name)];
    let others = [
        upstream::Upstream { address: ([127, 0, 0, 1], 81).into(), ..known.clone() },
        upstream::Upstream { service: name::ServiceName::from("app"), ..known.clone() },
        upstream::Upstream { slots: 5, ..known.clone() },
        upstream::Upstream {
            locality: locality::Locality::new(
                name::RegionName::from("r"),
                name::FailureDomainName::from("b"),
            ),
            ..known.clone()
        },
        upstream::Upstream { base_models: base_models("one"), ..known.clone() },
        upstream::Upstream { base_models: base_models("other"), ..known.clone() },
    ];
    let mut digests: Vec<_> = others.into_iter().chain([known.clone()]).map(digest).collect();
    digests.sort_unstable();
    digests.dedup();
    assert_eq!(digests.len(), 7);
    // The lease holder of a worker reports its adapters.
    let adapter = jasminetack_domain::adapter::AdapterRef::new(name::AdapterName::from("a"), 1);
    let loaded = upstream::Upstream { adapters: vec![adapter], ..known.clone() };
    assert_eq!(digest(loaded), digest(known));
}

#[test]
fn a_process_that_states_that_it_leaves_stays_unused_until_another_one_starts() {
    let mut directory = upstream::Directory::default();
    directory.mark_reachable(1_000, 1_000);
    directory.upsert(worker("w", 1, false));
    let digest = directory.digest();
    let change = directory.record_leaving(&name::WorkerName::from("w"), 1, 5_000);
    assert!(matches!(change, Some(upstream::Change::Updated(known)) if known.is_draining));
    assert_eq!(directory.record_leaving(&name::WorkerName::from("w"), 1, 5_100), None);
    // Daemons compare what is listed, which has not changed.
    assert_eq!(directory.digest(), digest);
    let is_unused = |directory: &upstream::Directory| {
        directory.get(&name::WorkerName::from("w")).is_some_and(|known| known.is_draining)
    };
    directory.remove(&name::WorkerName::from("w"), 6_000);
    directory.upsert(worker("w", 1, false));
    assert!(is_unused(&directory));
    // The row must be passed on to daemons that do not know that the worker leaves.
    assert!(directory.upsert(worker("w", 1, true)).is_some());
    assert_ne!(directory.digest(), digest);
    directory.upsert(worker("w", 2, false));
    assert!(!is_unused(&directory));
    // An old message does not concern the new process.
    assert_eq!(directory.record_leaving(&name::WorkerName::from("w"), 1, 7_000), None);
    assert!(!is_unused(&directory));
}

/// Guards against new requests to a leaving worker because the store was restored to the time before it said so.
#[test]
fn a_draining_process_stays_unused_though_a_restored_list_calls_it_ready() {
    let mut directory = upstream::Directory::default();
    directory.mark_reachable(1_000, 1_000);
    directory.upsert(worker("w", 7, true));
    directory.mark_restored(2_000);
    directory.mark_reachable(2_000, 2_000);
    directory.upsert(worker("w", 7, false));
    assert!(directory.get(&name::WorkerName::from("w")).is_some_and(|known| known.is_draining));
    // Its successor is used.
    directory.upsert(worker("w", 8, false));
    assert!(directory.get(&name::WorkerName::from("w")).is_some_and(|known| !known.is_draining));
}
