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

/// Guards against a lost reply being taken for the loss of the lease.
#[test]
fn lost_reply_of_a_renewal_that_took_effect_keeps_the_incarnation() {
    let mut session = lease::Session::start(row("a"), None, 5);
    let incarnation = session.holder().incarnation;
    let landed = session.renew(0);
    let repeated = session.renew(0);
    assert_eq!(repeated.expected, None);
    let stored = lease::Stored::new(9, landed.row);
    assert_eq!(session.refused(Some(&stored)), lease::Refusal::Landed);
    assert_eq!(session.renew(0).expected, Some(9));
    assert_eq!(session.holder().incarnation, incarnation);
}

/// Guards against a paused daemon going on under an incarnation that an observer ended.
#[test]
fn lapsed_session_continues_under_a_new_incarnation() {
    let mut session = lease::Session::start(row("a"), None, 5);
    let first = session.renew(0);
    session.committed(1);
    let observer = lease::Observer::new(lease::Stored::new(1, first.row), 0);
    assert_eq!(observer.lapse(2_499, 2_500), None);
    let lapse = observer.lapse(2_500, 2_500).unwrap();
    assert_eq!(lapse.expected, Some(1));
    session.renew(0);
    let stored = lease::Stored::new(2, lapse.row);
    assert_eq!(session.refused(Some(&stored)), lease::Refusal::Superseded);
    let next = session.renew(0);
    assert_eq!(next.expected, Some(2));
    assert!(next.row.incarnation > stored.row.incarnation);
}

/// Guards against two processes with one host name each taking the other's row for its own.
#[test]
fn processes_that_start_at_one_time_have_different_incarnations() {
    let one = lease::Session::start(row("a"), None, 5);
    let other = lease::Session::start(row("a"), None, 6);
    assert_ne!(one.holder(), other.holder());
}

/// Guards against expiry being measured from a late read instead of from the renewal.
#[test]
fn heartbeat_restarts_the_observers_clock_only_for_a_newer_version() {
    let mut observer = lease::Observer::new(lease::Stored::new(4, row("a")), 1_000);
    observer.heard(4, 2_000);
    assert_eq!(observer.expires_in_ms(2_000, 2_500), 1_500);
    observer.heard(5, 2_000);
    assert_eq!(observer.expires_in_ms(2_000, 2_500), 2_500);
    observer.saw(lease::Stored::new(5, row("a")), 3_000);
    assert_eq!(observer.expires_in_ms(3_000, 2_500), 1_500);
}

/// Guards against a claim of a worker whose owner still holds it, and against a claim that relies
/// on a lapse without the condition on the lapsed row.
#[test]
fn claim_needs_a_session_that_is_over() {
    let mut session = lease::Session::start(row("a"), None, 5);
    let mut owner = lease::Ownership::new(worker());
    let first = owner.claim(session.holder(), None).unwrap();
    assert_eq!((first.expected, first.row.fencing), (None, adapter::FencingToken::new(1)));
    owner.observe(lease::Stored::new(3, first.row));
    let mut stored = lease::Stored::new(7, session.renew(0).row);
    let other = lease::Session::start(row("b"), None, 8).holder();
    assert_eq!(owner.claim(other.clone(), Some(&stored)), None);
    assert_eq!(owner.claim(other.clone(), None), None);
    stored.row.state = lease::SessionState::Lapsed;
    let claim = owner.claim(other, Some(&stored)).unwrap();
    assert_eq!(claim.expected, Some(3));
    assert_eq!(claim.session, Some((name::HostName::from("a"), 7)));
    assert_eq!(claim.row.fencing, adapter::FencingToken::new(2));
    assert_eq!(claim.row.former[0].holder, session.holder());
    assert_eq!(claim.row.former[0].host_incarnation, 3);
}

/// Guards against instances of a paused former owner being taken for free.
#[test]
fn only_proof_that_the_process_finished_ends_a_former_owner() {
    let session = lease::Session::start(row("a"), None, 5);
    let holder = session.holder();
    let former = lease::Former {
        fencing: adapter::FencingToken::new(4),
        holder: holder.clone(),
        host_incarnation: 3,
    };
    let mut seen = session.row().clone();
    seen.state = lease::SessionState::Lapsed;
    assert!(!former.ended_by_session(&seen));
    seen.incarnation = seen.incarnation.next();
    seen.state = lease::SessionState::Live;
    assert!(!former.ended_by_session(&seen), "the same process still finishes requests");
    seen.host_incarnation = 4;
    assert!(former.ended_by_session(&seen));
    assert!(!former.ended_by_host_list(Some(2), None), "the list does not know the host yet");
    assert!(!former.ended_by_host_list(Some(3), Some(3)));
    assert!(former.ended_by_host_list(Some(3), None));
    assert!(former.ended_by_host_list(None, Some(4)));
    let fencing = adapter::FencingToken::new(3);
    let released = lease::ReleasedRow { worker: worker(), fencing, holder };
    assert!(!former.ended_by_release(&released));
}

/// Guards against workers that are owned across regions while their own region has daemons.
#[test]
fn owner_is_chosen_from_the_nearest_place_that_has_daemons() {
    let hosts = ["a", "b", "c"].map(name::HostName::from);
    let places = [place("north", "a"), place("north", "b"), place("south", "a")];
    let choose = |count: usize| {
        let daemons = hosts.iter().zip(&places).skip(count);
        lease::Ownership::choose(&worker(), &place("north", "a"), daemons).cloned()
    };
    assert_eq!(choose(0), Some(hosts[0].clone()));
    assert_eq!(choose(1), Some(hosts[1].clone()));
    assert_eq!(choose(2), Some(hosts[2].clone()));
    assert_eq!(choose(3), None);
}
