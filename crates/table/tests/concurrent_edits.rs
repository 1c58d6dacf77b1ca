//! Tests of concurrent edits by several operators against the platform stand-in.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Barrier;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use indexmap::IndexMap;
use jasminetack_domain::table;
use jasminetack_standins::platform as standin;
use jasminetack_table::assignment;
use jasminetack_table::command_error::CommandError;
use jasminetack_table::commands::{history, show, status, write};
use jasminetack_table::commit;
use jasminetack_table::plan;
use jasminetack_table::platform::{HttpPlatform, Platform};
use jasminetack_table::row_change;
use jasminetack_table::settings;
use jasminetack_wire::history as wire_history;
use jasminetack_wire::platform as wire;
use jasminetack_wire::row;
use rand::{RngExt, SeedableRng};

const KEY: &str = "platform-key";
const SEED: u64 = 20_261_204;
const OPERATORS: usize = 4;
const ROUNDS: usize = 100;
const CONTENDED_ROWS: usize = 3;

struct Fixture {
    /// Source of nonces, which keep the tokens of edits distinct.
    next_nonce: AtomicU64,
    address: SocketAddr,
    service: HttpPlatform,
}

impl Fixture {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let config = standin::Config { key: KEY.to_owned(), host_list_lag_ms: 0 };
        let address = standin::start(listener, config).expect("the platform starts");
        let settings = settings::Settings {
            platform_url: format!("http://{address}"),
            platform_key: KEY.to_owned(),
            operator: String::new(),
            call_timeout_ms: 5_000,
            attempts: 5,
            description: String::new(),
        };
        Self { next_nonce: AtomicU64::new(1), address, service: HttpPlatform::new(&settings) }
    }

    fn set_faults(&self, faults: &str) {
        let url = format!("http://{}/switch", self.address);
        ureq::post(url).send(faults).expect("the faults are set");
    }

    fn put(&self, key: &str, value: serde_json::Value) {
        let writes = vec![wire::Write { key: key.to_owned(), value: Some(value) }];
        let transaction = wire::Transaction { conditions: Vec::new(), writes };
        self.service.transact(&transaction).expect("the row is written");
    }

    fn write(&self, operator: &str, key: &str, texts: &[&str]) -> Result<String, CommandError> {
        let mut output = Vec::new();
        let mode = write::WriteMode::NoPrompt;
        let change = [change(key, texts)];
        let author = author(operator, self.next_nonce.fetch_add(1, Ordering::Relaxed));
        write::run(&self.service, &change, &author, mode, io::empty(), &mut output)?;
        Ok(String::from_utf8_lossy(&output).into_owned())
    }
}

fn change(key: &str, texts: &[&str]) -> row_change::RowChange {
    let mut assignments = Vec::new();
    for text in texts {
        assignments.push(assignment::Assignment::parse(text).expect("FIELD=VALUE"));
    }
    let key = table::RowKey::parse(key).expect("KIND/NAME");
    row_change::RowChange { key, action: row_change::Action::Assign(assignments) }
}

fn author(operator: &str, nonce: u64) -> commit::Author {
    commit::Author {
        operator: operator.to_owned(),
        at_unix_ms: 1_764_835_200_000,
        nonce,
        max_attempts: 5,
        retry_delay_ms: 1,
    }
}

/// Guards against an edit overwriting a row that was changed or created after its plan was made.
#[test]
fn conflicting_edit_reports_both_rows() {
    let fixture = Fixture::start();
    fixture.write("ann", "team/desk", &["weight=2"]).unwrap();
    let plan = plan::Plan::new(&fixture.service, &[change("team/desk", &["weight=3"])]).unwrap();
    fixture.write("bob", "team/desk", &["share=5"]).unwrap();
    let error = commit::commit(&fixture.service, &plan, &author("ann", 102)).unwrap_err();
    assert_eq!(error.exit_code(), 4);
    insta::assert_snapshot!(error);
    let create = [change("team/new", &[])];
    let plan = plan::Plan::new(&fixture.service, &create).unwrap();
    fixture.write("bob", "team/new", &["weight=7"]).unwrap();
    let error = commit::commit(&fixture.service, &plan, &author("ann", 103)).unwrap_err();
    assert_eq!(error.exit_code(), 4, "creation is conditional on absence");
}

/// Guards against creating an adapter of a team that is deleted concurrently.
#[test]
fn adapter_creation_requires_its_team() {
    let fixture = Fixture::start();
    fixture.write("ann", "team/desk", &["weight=2"]).unwrap();
    let create = change("adapter/offer", &["team=desk", "base-model=base", "versions=1"]);
    let plan = plan::Plan::new(&fixture.service, &[create]).unwrap();
    let key = table::RowKey::parse("team/desk").unwrap();
    let delete = [row_change::RowChange { key, action: row_change::Action::Delete }];
    let deletion = plan::Plan::new(&fixture.service, &delete).unwrap();
    commit::commit(&fixture.service, &deletion, &author("bob", 102)).unwrap();
    let error = commit::commit(&fixture.service, &plan, &author("ann", 103)).unwrap_err();
    assert_eq!(error.exit_code(), 4);
}

/// Guards against reporting a committed edit as failed, or writing it twice, when replies are lost.
#[test]
fn lost_replies_are_resolved() {
    let fixture = Fixture::start();
    fixture.set_faults(r#"{"lose_replies": 2}"#);
    let text = fixture.write("ann", "team/desk", &["weight=2"]).unwrap();
    assert!(text.ends_with("wrote 1 rows at version 1\n"), "{text}");
    fixture.set_faults(r#"{"outage": true}"#);
    let error = fixture.write("ann", "team/desk", &["weight=3"]).unwrap_err();
    assert_eq!(error.exit_code(), 5);
    fixture.set_faults(r#"{"outage": false}"#);
    let (mut row_text, mut history_text) = (Vec::new(), Vec::new());
    show::run(&fixture.service, Some("team/desk"), &mut row_text).unwrap();
    history::run(&fixture.service, Some("team/desk"), &mut history_text).unwrap();
    let text = [row_text, history_text].concat();
    insta::assert_snapshot!(String::from_utf8(text).unwrap());
}

/// Guards against reporting a host as up to date although it has not confirmed a change.
#[test]
fn status_names_hosts_that_have_not_confirmed() {
    let fixture = Fixture::start();
    fixture.write("ann", "team/desk", &["weight=2"]).unwrap();
    let session = |state, version| serde_json::json!({ "state": state, "table_version": version });
    fixture.put("session/e1", session("live", 1));
    fixture.put("session/e3", session("lapsed", 0));
    let mut text = Vec::new();
    status::run(&fixture.service, &mut text).unwrap();
    fixture.put("session/e2", session("leaving", 0));
    let error = status::run(&fixture.service, &mut text).unwrap_err();
    assert_eq!(error.exit_code(), 7);
    insta::assert_snapshot!(String::from_utf8(text).unwrap());
}

/// Guards against returning the status before daemons had time to confirm an edit.
#[test]
fn status_waits_for_hosts_that_confirm_later() {
    let fixture = Fixture::start();
    fixture.write("ann", "team/desk", &["weight=2"]).unwrap();
    let session = |version| serde_json::json!({ "state": "live", "table_version": version });
    fixture.put("session/e1", session(0));
    let mut text = Vec::new();
    assert!(status::run_with_timeout(&fixture.service, &mut text, Duration::ZERO).is_err());
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(Duration::from_millis(400));
            fixture.put("session/e1", session(1));
        });
        text.clear();
        status::run_with_timeout(&fixture.service, &mut text, Duration::from_secs(5)).unwrap();
    });
    assert!(String::from_utf8(text).unwrap().contains("e1 live version in force 1: confirmed"));
}

/// Guards against lost updates and missing or duplicate history rows when operators write the same
/// rows concurrently and replies are lost.
#[test]
fn concurrent_edits_have_one_winner_per_round() {
    let fixture = Fixture::start();
    for index in 0..CONTENDED_ROWS {
        fixture.write("ann", &format!("team/t{index}"), &["weight=1"]).unwrap();
    }
    fixture.set_faults(r#"{"lose_replies": 40, "lose_prefix": "row/"}"#);
    let barrier = Barrier::new(OPERATORS);
    let results: Vec<_> = thread::scope(|scope| {
        let (fixture, barrier) = (&fixture, &barrier);
        let operators =
            (0..OPERATORS).map(|index| scope.spawn(move || run_operator(fixture, barrier, index)));
        let operators: Vec<_> = operators.collect();
        operators.into_iter().map(|operator| operator.join().unwrap()).collect()
    });
    for round in 0..ROUNDS {
        let winners = results.iter().filter(|rounds| rounds[round].is_ok()).count();
        let exit_codes = results.iter().filter_map(|rounds| rounds[round].as_ref().err());
        assert_eq!(winners, 1, "round {round} with seed {SEED}");
        assert!(exit_codes.into_iter().all(|exit_code| *exit_code == 4), "round {round}");
    }
    let page = fixture.service.rows(wire_history::HISTORY_PREFIX, 0).unwrap();
    assert_eq!(page.rows.len(), ROUNDS + CONTENDED_ROWS);
    let mut current_rows = IndexMap::new();
    for stored in &page.rows {
        let value = stored.value.clone().unwrap();
        let change: wire_history::HistoryRow = serde_json::from_value(value).unwrap();
        let (row_key, _) = stored.key.rsplit_once('/').unwrap();
        let previous =
            current_rows.insert(row_key.to_owned(), (stored.version, change.new.clone()));
        assert_eq!(previous.as_ref().map(|(version, _)| *version), change.old_version);
        assert_eq!(previous.and_then(|(_, row)| row), change.old, "{row_key} lost an update");
    }
    for (row_key, (version, row)) in current_rows {
        let key = row_key.replace(wire_history::HISTORY_PREFIX, row::ROW_PREFIX);
        let read = fixture.service.read(&wire::ReadRequest { keys: vec![key] }).unwrap();
        assert_eq!(read.rows[0].version, version);
        assert_eq!(read.rows[0].value, row.map(|row| serde_json::to_value(row).unwrap()));
    }
}

/// Plans an edit of the same row as the other operators in each round, and commits it once all have
/// planned theirs.
fn run_operator(fixture: &Fixture, barrier: &Barrier, operator: usize) -> Vec<Result<u64, u8>> {
    let mut random = rand_pcg::Pcg64::seed_from_u64(SEED);
    let mut results = Vec::new();
    for _ in 0..ROUNDS {
        let key = format!("team/t{}", random.random_range(0..CONTENDED_ROWS));
        // Weights differ between operators and rounds, so that every edit makes a difference.
        let weight = 2 + operator + OPERATORS * results.len();
        let change = [change(&key, &[&format!("weight={weight}")])];
        let plan = plan::Plan::new(&fixture.service, &change);
        let nonce = fixture.next_nonce.fetch_add(1, Ordering::Relaxed);
        let author = author(&format!("operator-{operator}"), nonce);
        barrier.wait();
        let result = plan.and_then(|plan| commit::commit(&fixture.service, &plan, &author));
        results.push(result.map_err(|error| error.exit_code()));
        barrier.wait();
    }
    results
}
