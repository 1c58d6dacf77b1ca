//! Tests of the quarantined segments that the control thread keeps in the store.

mod support;

use jasminetack_domain::store_version::StoreVersion;
use jasminetack_domain::{dispatch, member, name, quarantine};
use jasminetack_edge::{control, store};
use jasminetack_wire::fleet;
use prost::Message;
use support::{Daemon, NOW_MS};

const DEADLY: u64 = 0xdead;
const SOUND: u64 = 1;
/// Store time at `NOW_MS` in these tests.
const STORE_MS: u64 = 70_000_000;
const VERSION: u64 = 7;

fn prompt(shared: &[u64]) -> Vec<dispatch::PromptSegment> {
    let ids = shared.iter().copied().chain([u64::MAX]);
    ids.map(|id| dispatch::PromptSegment { id: id.into(), tokens: 1 }).collect()
}

fn row(remaining_ms: i64) -> store::Row {
    row_of(DEADLY, remaining_ms)
}

fn row_of(segment: u64, remaining_ms: i64) -> store::Row {
    let until_store_ms = STORE_MS.saturating_add_signed(remaining_ms);
    let first_crash_store_ms = until_store_ms - 122_000;
    let verdict =
        quarantine::StoredVerdict { first_crash_store_ms, until_store_ms, duration_ms: 120_000 };
    let value = fleet::QuarantineRow::new(segment.into(), verdict).encode_to_vec();
    store::Row { key: format!("{segment:x}"), value: Some(value), version: VERSION }
}

fn reply(daemon: &mut Daemon, reply: control::QuarantineReply) {
    daemon.receive(control::Message::StoreReply(control::StoreReply::Quarantine(reply)));
}

fn read_rows(daemon: &mut Daemon, rows: Vec<store::Row>) {
    let listing = store::Listing { rows, version: VERSION, store_ms: STORE_MS };
    reply(daemon, control::QuarantineReply::Rows(Ok(listing), NOW_MS));
}

/// Takes the transactions on quarantined segments.
fn take_writes(daemon: &mut Daemon) -> Vec<store::Transaction> {
    let jobs = daemon.take_store_jobs().into_iter();
    let writes = jobs.filter_map(|job| match job {
        control::StoreJob::Quarantine(control::QuarantineJob::Write(_, write)) => Some(write),
        _ => None,
    });
    writes.collect()
}

fn is_refused(daemon: &Daemon) -> bool {
    daemon.view.load().quarantined.contains_key(&dispatch::SegmentId::from(DEADLY))
}

/// Has the daemon decide by itself that the deadly segment crashes workers.
fn decide(daemon: &mut Daemon) {
    for index in 0..5 {
        let worker = name::WorkerName::from("w1");
        let mut crash = quarantine::WorkerCrash::new(worker, index);
        crash.add_request(&prompt(&[SOUND, DEADLY]));
        let crashed = control::Message::WorkerCrashed(crash);
        daemon.state.receive(vec![crashed], NOW_MS + 300 * index);
    }
    daemon.state.tick(NOW_MS + 4_000);
}

/// Guards against a quarantine that a restore of the store and a later restart of all daemons let through: its row
/// is missing until the next regular read, a minute later.
#[test]
fn the_rows_are_read_again_at_once_when_the_store_was_restored() {
    let mut daemon = Daemon::new(&["w1"]);
    daemon.state.tick(NOW_MS);
    read_rows(&mut daemon, vec![row(60_000)]);
    assert!(is_refused(&daemon));
    daemon.take_store_jobs();
    let version = StoreVersion::new(1, 3).as_u64();
    let listing = store::Listing { rows: Vec::new(), version, store_ms: STORE_MS };
    let event = control::FeedEvent::Listed(listing);
    daemon.receive(control::Message::TableRead(store::Table::Operator, event, NOW_MS));
    daemon.state.tick(NOW_MS + 1);
    let read = control::StoreJob::Quarantine(control::QuarantineJob::Read);
    assert!(daemon.take_store_jobs().contains(&read));
    let listing = store::Listing { rows: Vec::new(), version, store_ms: STORE_MS };
    reply(&mut daemon, control::QuarantineReply::Rows(Ok(listing), NOW_MS));
    assert_eq!(take_writes(&mut daemon).len(), 1, "the row is written again");
    assert!(is_refused(&daemon));
}

/// Guards against knowledge that is lost when all daemons are killed at once.
#[test]
fn a_daemon_that_starts_alone_refuses_what_the_store_says_is_quarantined() {
    let mut daemon = Daemon::new(&["w1"]);
    daemon.state.tick(NOW_MS);
    let read = control::StoreJob::Quarantine(control::QuarantineJob::Read);
    assert!(daemon.take_store_jobs().contains(&read));
    read_rows(&mut daemon, vec![row(100_000)]);
    assert!(is_refused(&daemon));
    assert_eq!(take_writes(&mut daemon), []);
}

/// Guards against a decision that no later daemon can learn.
#[test]
fn a_daemon_that_decides_first_writes_the_row() {
    let mut daemon = Daemon::new(&["w1"]);
    read_rows(&mut daemon, Vec::new());
    decide(&mut daemon);
    assert!(is_refused(&daemon));
    daemon.state.tick(NOW_MS + 4_100);
    let writes = take_writes(&mut daemon);
    assert_eq!(writes.len(), 1, "{writes:?}");
    assert_eq!(writes[0].conditions[0].version, 0);
    let value = writes[0].writes[0].value.as_ref().expect("a row");
    let (segment, verdict) = fleet::QuarantineRow::decode_row(value).expect("a quarantine");
    assert_eq!(segment, DEADLY.into());
    assert!(verdict.until_store_ms >= STORE_MS + 120_000, "{verdict:?}");
}

/// Guards against a write that is lost with an outage of the store, and against one that is repeated
/// although another daemon was first.
#[test]
fn a_write_is_repeated_after_an_outage_until_a_row_is_there() {
    let mut daemon = Daemon::new(&["w1"]);
    read_rows(&mut daemon, Vec::new());
    decide(&mut daemon);
    daemon.state.tick(NOW_MS + 4_100);
    assert_eq!(take_writes(&mut daemon).len(), 1);
    let error = store::StoreError::Unanswered { message: "timeout".to_owned() };
    let segment = DEADLY.into();
    reply(&mut daemon, control::QuarantineReply::Written(segment, false, Err(error)));
    assert_eq!(take_writes(&mut daemon), []);
    daemon.state.tick(NOW_MS + 8_000);
    assert_eq!(take_writes(&mut daemon).len(), 1);
    let conflict = store::Outcome::Conflict(vec![row(115_000)]);
    reply(&mut daemon, control::QuarantineReply::Written(segment, false, Ok(conflict)));
    daemon.state.tick(NOW_MS + 12_000);
    assert_eq!(take_writes(&mut daemon), []);
    assert!(is_refused(&daemon));
}

/// Guards against a sound segment that every daemon refuses after a restart, although an answer had
/// cleared it.
#[test]
fn the_row_of_a_cleared_segment_is_deleted() {
    let mut daemon = Daemon::new(&["w1"]);
    read_rows(&mut daemon, vec![row(100_000)]);
    assert!(is_refused(&daemon));
    let segments = prompt(&[SOUND, DEADLY]).into();
    let answer = quarantine::SurvivedAnswer { segments, started_ms: NOW_MS };
    daemon.receive(control::Message::AnswersSurvived(vec![answer]));
    assert!(!is_refused(&daemon));
    daemon.state.tick(NOW_MS + 100);
    let writes = take_writes(&mut daemon);
    assert_eq!(writes.len(), 1, "{writes:?}");
    assert_eq!(writes[0].conditions[0].version, VERSION);
    assert_eq!(writes[0].writes[0].value, None);
}

/// Guards against rows that stay in the store for good when the daemons that wrote them are gone.
#[test]
fn a_row_whose_probation_is_over_is_deleted_and_one_on_probation_is_kept() {
    let mut daemon = Daemon::new(&["w1"]);
    read_rows(&mut daemon, vec![row(-60_000)]);
    assert!(!is_refused(&daemon));
    assert_eq!(take_writes(&mut daemon), []);
    let mut daemon = Daemon::new(&["w1"]);
    read_rows(&mut daemon, vec![row(-120_000)]);
    let writes = take_writes(&mut daemon);
    assert_eq!(writes.len(), 1, "{writes:?}");
    assert_eq!(writes[0].writes[0].value, None);
}

/// Guards against a quarantine whose probation a restart ends: one more crash must renew it.
#[test]
fn one_crash_renews_a_quarantine_that_the_store_has_on_probation() {
    let mut daemon = Daemon::new(&["w1"]);
    read_rows(&mut daemon, vec![row(-1_000)]);
    let mut crash = quarantine::WorkerCrash::new(name::WorkerName::from("w1"), 1);
    crash.add_request(&prompt(&[SOUND, DEADLY]));
    daemon.receive(control::Message::WorkerCrashed(crash));
    daemon.state.tick(NOW_MS + 100);
    assert!(is_refused(&daemon));
    daemon.state.tick(NOW_MS + 200);
    let writes = take_writes(&mut daemon);
    assert_eq!(writes.len(), 1, "{writes:?}");
    assert_eq!(writes[0].conditions[0].version, VERSION);
}

/// Other daemons in a fleet where few write the row of a segment.
const OTHERS: u8 = 40;

/// Returns a daemon of a larger fleet, and a segment whose row it is, or is not, one of three to write.
fn daemon_and_segment(is_writer: bool) -> (Daemon, u64) {
    let mut daemon = Daemon::new(&["w1"]);
    for index in 1..=OTHERS {
        daemon.receive_state_of(index, fleet::DaemonState::default(), 1);
    }
    let is_own = |segment: &u64| {
        let key = dispatch::SegmentId::from(*segment).to_string();
        let own = member::rendezvous::score("own", &key);
        let others =
            (1..=OTHERS).map(|index| member::rendezvous::score(&format!("other-{index}"), &key));
        others.filter(|score| *score < own).count() < 3
    };
    let segment = (DEADLY..).find(|segment| is_own(segment) == is_writer);
    (daemon, segment.expect("a segment"))
}

fn quarantined_by_peer(segment: u64) -> fleet::DaemonState {
    let quarantined = fleet::QuarantinedSegment {
        segment,
        first_crash_age_ms: 3_000,
        remaining_ms: 100_000,
        duration_ms: 120_000,
    };
    fleet::DaemonState { quarantined: vec![quarantined], ..fleet::DaemonState::default() }
}

/// Guards against hundreds of daemons that delete one row at the same moment, when the store comes back or
/// all start.
#[test]
fn daemons_that_are_no_writers_delete_a_row_if_it_is_still_there_at_the_next_read() {
    let (mut daemon, segment) = daemon_and_segment(false);
    read_rows(&mut daemon, vec![row_of(segment, -120_000)]);
    assert_eq!(take_writes(&mut daemon), []);
    read_rows(&mut daemon, vec![row_of(segment, -120_000)]);
    assert_eq!(take_writes(&mut daemon).len(), 1);
    let (mut daemon, segment) = daemon_and_segment(true);
    read_rows(&mut daemon, vec![row_of(segment, -120_000)]);
    assert_eq!(take_writes(&mut daemon).len(), 1);
}

/// Guards against hundreds of daemons that write one missing row at the same moment.
#[test]
fn daemons_that_are_no_writers_write_a_row_if_it_is_still_missing_at_the_next_read() {
    let (mut daemon, segment) = daemon_and_segment(false);
    daemon.receive_state_of(1, quarantined_by_peer(segment), 2);
    read_rows(&mut daemon, Vec::new());
    assert_eq!(take_writes(&mut daemon), []);
    read_rows(&mut daemon, Vec::new());
    assert_eq!(take_writes(&mut daemon).len(), 1);
    let (mut daemon, segment) = daemon_and_segment(true);
    daemon.receive_state_of(1, quarantined_by_peer(segment), 2);
    read_rows(&mut daemon, Vec::new());
    assert_eq!(take_writes(&mut daemon).len(), 1);
}

/// Guards against a verdict that is in no row for up to a read interval, and lost if all daemons are killed,
/// since the daemon that decided is not one of those that write it.
#[test]
fn the_writers_write_what_another_daemon_decided() {
    for is_writer in [true, false] {
        let (mut daemon, segment) = daemon_and_segment(is_writer);
        read_rows(&mut daemon, Vec::new());
        daemon.receive_state_of(1, quarantined_by_peer(segment), 2);
        daemon.state.tick(NOW_MS + 100);
        let writes = take_writes(&mut daemon);
        assert_eq!(writes.len(), usize::from(is_writer), "{writes:?}");
        assert!(writes.iter().all(|write| write.conditions[0].version == 0));
    }
}

/// Guards against a write of a row that is there already.
#[test]
fn a_quarantine_that_is_known_from_its_row_is_not_written_again() {
    let (mut daemon, segment) = daemon_and_segment(true);
    read_rows(&mut daemon, vec![row_of(segment, 100_000)]);
    daemon.receive_state_of(1, quarantined_by_peer(segment), 2);
    daemon.state.tick(NOW_MS + 100);
    assert_eq!(take_writes(&mut daemon), []);
}
