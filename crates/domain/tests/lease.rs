//! Tests of sessions, observers and ownership.

use std::net::SocketAddr;

use jasminetack_domain::adapter;
use jasminetack_domain::lease;
use jasminetack_domain::locality;
use jasminetack_domain::name;

fn place(region: &str, failure_domain: &str) -> locality::Locality {
    locality::Locality::new(
        name::RegionName::from(region),
        name::FailureDomainName::from(failure_domain),
    )
}

fn row(host: &str) -> lease::SessionRow {
    lease::SessionRow {
        host: name::HostName::from(host),
        incarnation: lease::Incarnation::default(),
        state: lease::SessionState::Live,
        renewals: 0,
        table_version: 0,
        host_incarnation: 3,
        place: place("north", "a"),
        peers_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        ops_address: None,
    }
}

fn worker() -> name::WorkerName {
    name::WorkerName::from("w1")
}

/// Guards against treating the lost reply of a committed renewal as loss of the lease.
#[test]
fn lost_reply_of_a_committed_renewal_keeps_the_incarnation() {
    let mut session = lease::Session::start(row("a"), None, 5);
    let incarnation = session.holder().incarnation;
    let committed = session.renew(0);
    let repeated = session.renew(0);
    assert_eq!(repeated.expected_version, None);
    let stored = lease::Stored::new(9, committed.row);
    assert_eq!(session.record_conflict(Some(&stored)), lease::RenewalConflict::AlreadyCommitted);
    assert_eq!(session.renew(0).expected_version, Some(9));
    assert_eq!(session.holder().incarnation, incarnation);
}

/// Guards against a resumed daemon continuing under an incarnation that an observer marked as
/// lapsed while the daemon was paused.
#[test]
fn lapsed_session_continues_under_a_new_incarnation() {
    let mut session = lease::Session::start(row("a"), None, 5);
    let first = session.renew(0);
    session.record_commit(1);
    let observer = lease::Observer::new(lease::Stored::new(1, first.row), 0);
    assert_eq!(observer.lapse(2_499, 2_500), None);
    let lapse = observer.lapse(2_500, 2_500).unwrap();
    assert_eq!(lapse.expected_version, Some(1));
    session.renew(0);
    let stored = lease::Stored::new(2, lapse.row);
    assert_eq!(session.record_conflict(Some(&stored)), lease::RenewalConflict::Superseded);
    let next = session.renew(0);
    assert_eq!(next.expected_version, Some(2));
    assert!(next.row.incarnation > stored.row.incarnation);
}

/// Guards against two processes with the same host name mistaking each other's row for their own.
#[test]
fn concurrently_started_processes_have_different_incarnations() {
    let one = lease::Session::start(row("a"), None, 5);
    let other = lease::Session::start(row("a"), None, 6);
    assert_ne!(one.holder(), other.holder());
}

/// Guards against measuring expiry from a delayed read of the row instead of from the renewal.
#[test]
fn heartbeat_restarts_the_expiry_timer_only_for_a_newer_version() {
    let mut observer = lease::Observer::new(lease::Stored::new(4, row("a")), 1_000);
    observer.record_renewal(4, 2_000);
    assert_eq!(observer.expires_in_ms(2_000, 2_500), 1_500);
    observer.record_renewal(5, 2_000);
    assert_eq!(observer.expires_in_ms(2_000, 2_500), 2_500);
    observer.observe(lease::Stored::new(5, row("a")), 3_000);
    assert_eq!(observer.expires_in_ms(3_000, 2_500), 1_500);
}

/// Guards against claiming a worker whose owner still holds its lease, and against a claim that
/// relies on a lapse without a condition on the lapsed session row.
#[test]
fn claim_requires_an_expired_session() {
    let mut session = lease::Session::start(row("a"), None, 5);
    let mut owner = lease::Ownership::new(worker());
    let first = owner.claim(session.holder(), None).unwrap();
    assert_eq!((first.expected_version, first.row.fencing), (None, adapter::FencingToken::new(1)));
    owner.observe(lease::Stored::new(3, first.row));
    let mut stored = lease::Stored::new(7, session.renew(0).row);
    let other = lease::Session::start(row("b"), None, 8).holder();
    assert_eq!(owner.claim(other.clone(), Some(&stored)), None);
    assert_eq!(owner.claim(other.clone(), None), None);
    stored.row.state = lease::SessionState::Lapsed;
    let claim = owner.claim(other, Some(&stored)).unwrap();
    assert_eq!(claim.expected_version, Some(3));
    assert_eq!(claim.session_condition, Some((name::HostName::from("a"), 7)));
    assert_eq!(claim.row.fencing, adapter::FencingToken::new(2));
    assert_eq!(claim.row.former_owners[0].holder, session.holder());
    assert_eq!(claim.row.former_owners[0].host_incarnation, 3);
}

/// Guards against reusing instances of a former owner whose process is only paused.
#[test]
fn former_owner_ends_only_with_proof_that_its_process_finished() {
    let session = lease::Session::start(row("a"), None, 5);
    let holder = session.holder();
    let former = lease::FormerOwner {
        fencing: adapter::FencingToken::new(4),
        holder: holder.clone(),
        host_incarnation: 3,
    };
    let mut seen = session.row().clone();
    seen.state = lease::SessionState::Lapsed;
    assert!(!former.ended_by_session(&seen));
    seen.incarnation = seen.incarnation.next();
    seen.state = lease::SessionState::Live;
    assert!(!former.ended_by_session(&seen), "the same process still completes requests");
    seen.host_incarnation = 4;
    assert!(former.ended_by_session(&seen));
    assert!(!former.ended_by_host_list(Some(2), None), "the list does not contain the host yet");
    assert!(!former.ended_by_host_list(Some(3), Some(3)));
    assert!(former.ended_by_host_list(Some(3), None));
    assert!(former.ended_by_host_list(None, Some(4)));
    let fencing = adapter::FencingToken::new(3);
    let released = lease::ReleasedRow { worker: worker(), fencing, holder };
    assert!(!former.ended_by_release(&released));
}

/// Guards against assigning a worker to another region while its own region has daemons.
#[test]
fn owner_is_chosen_from_the_nearest_place_that_has_daemons() {
    let hosts = ["a", "b", "c"].map(name::HostName::from);
    let places = [place("north", "a"), place("north", "b"), place("south", "a")];
    let choose = |count: usize| {
        let daemons = hosts.iter().zip(&places).skip(count);
        lease::Ownership::choose_owner(&worker(), &place("north", "a"), daemons).cloned()
    };
    assert_eq!(choose(0), Some(hosts[0].clone()));
    assert_eq!(choose(1), Some(hosts[1].clone()));
    assert_eq!(choose(2), Some(hosts[2].clone()));
    assert_eq!(choose(3), None);
}
