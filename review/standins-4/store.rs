//! Stand-in of the platform's store, with a drill that brings it back from an older copy.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use crate::http::{self, Answer, Handler, Message};
use crate::json::{Json, decode_base64, encode_base64};
use crate::record::Record;

/// Tables that only the operator and the workers write.
const OUTSIDE_TABLES: [&str; 2] = ["op", "servers"];

/// A change of one row.
#[derive(Clone, Debug)]
struct Change {
    table: String,
    key: String,
    value: Option<Vec<u8>>,
    version: u64,
}

/// Contents at one moment.
#[derive(Clone, Debug, Default)]
struct Contents {
    rows: BTreeMap<(String, String), (Vec<u8>, u64)>,
    history: Vec<Change>,
    version: u64,
}

impl Contents {
    fn write(&mut self, writes: Vec<(String, String, Option<Vec<u8>>)>) -> u64 {
        self.version += 1;
        for (table, key, value) in writes {
            let row = (table.clone(), key.clone());
            match &value {
                Some(value) => {
                    self.rows.insert(row, (value.clone(), self.version));
                }
                None => {
                    self.rows.remove(&row);
                }
            }
            self.history.push(Change { table, key, value, version: self.version });
        }
        self.version
    }
}

#[derive(Default)]
struct State {
    contents: Contents,
    copy: Option<Contents>,
    era: u64,
    is_away: bool,
}

/// Stand-in of the platform's store.
pub struct Store {
    state: Mutex<State>,
    started: Instant,
    record: Record,
}

impl Store {
    /// Starts the store and returns it with its address.
    pub fn start(record: &Record, ip: &str) -> io::Result<(Arc<Self>, SocketAddr)> {
        let state = State { era: 1, ..State::default() };
        let (started, record) = (Instant::now(), record.clone());
        let store = Arc::new(Self { state: Mutex::new(state), started, record });
        let address = http::serve(Arc::clone(&store), ip)?;
        Ok((store, address))
    }

    /// Writes a row as the operator or a worker; returns its version, or `None` while the store is away.
    pub fn put(&self, table: &str, key: &str, value: &str) -> Option<u64> {
        let mut state = self.lock();
        if state.is_away {
            return None;
        }
        let write = (table.to_owned(), key.to_owned(), Some(value.as_bytes().to_vec()));
        Some(state.contents.write(vec![write]))
    }

    /// Returns the version of a row; `None` if it does not exist.
    pub fn row_version(&self, table: &str, key: &str) -> Option<u64> {
        let row = (table.to_owned(), key.to_owned());
        self.lock().contents.rows.get(&row).map(|(_, version)| *version)
    }

    /// Returns the version of the store.
    pub fn version(&self) -> u64 {
        self.lock().contents.version
    }

    /// Takes the copy from which a drill will restore.
    pub fn take_copy(&self) {
        let mut state = self.lock();
        state.copy = Some(state.contents.clone());
        self.record.line(&format!("store copy version={}", state.contents.version));
    }

    /// Begins the drill: the store is away.
    pub fn go_away(&self) {
        let mut state = self.lock();
        state.is_away = true;
        self.record.line(&format!("store away version={}", state.contents.version));
    }

    /// Ends the drill: the store is back from the copy, and what the operator and the workers wrote since is
    /// written again, in the same order.
    pub fn come_back(&self) {
        let mut state = self.lock();
        let Some(copy) = state.copy.take() else { return };
        let lost = std::mem::replace(&mut state.contents, copy);
        let restored = state.contents.version;
        let mut written = 0;
        for change in lost.history.into_iter().filter(|change| change.version > restored) {
            if OUTSIDE_TABLES.contains(&change.table.as_str()) {
                state.contents.write(vec![(change.table, change.key, change.value)]);
                written += 1;
            }
        }
        state.era += 1;
        state.is_away = false;
        self.record.line(&format!(
            "store back era={} restored_version={restored} written_again={written} version={} lost_version={}",
            state.era, state.contents.version, lost.version
        ));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn list(&self, contents: &Contents, request: &Message) -> Answer {
        let (table, from) = (request.parameter("Table"), request.parameter("From"));
        let rows = contents.rows.iter().filter(|((known, key), _)| *known == table && *key >= from);
        let rows = rows.map(|((table, key), (value, version))| {
            row_json(table, key, Some(value), *version)
        });
        let rows: Vec<_> = rows.collect();
        self.rows_answer(&rows, contents.version)
    }

    fn feed(&self, contents: &Contents, request: &Message) -> Answer {
        let table = request.parameter("Table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        if after > contents.version {
            return Answer::new(410, "");
        }
        let mut latest: BTreeMap<&str, &Change> = BTreeMap::new();
        for change in &contents.history {
            if change.table == table && change.version > after {
                latest.insert(&change.key, change);
            }
        }
        let mut changes: Vec<_> = latest.into_values().collect();
        changes.sort_by_key(|change| change.version);
        let rows = changes.iter().map(|change| {
            row_json(&change.table, &change.key, change.value.as_deref(), change.version)
        });
        let rows: Vec<_> = rows.collect();
        self.rows_answer(&rows, contents.version)
    }

    fn rows_answer(&self, rows: &[String], version: u64) -> Answer {
        let (rows, now_ms) = (rows.join(","), self.now_ms());
        Answer::new(
            200,
            &format!(
                r#"{{"Rows":[{rows}],"HasMore":false,"SchemaVersion":{version},"NowMs":{now_ms}}}"#
            ),
        )
    }

    fn transact(&self, contents: &mut Contents, body: &str) -> Answer {
        let Some(transaction) = Json::parse(body) else { return Answer::new(400, "") };
        let mut current = Vec::new();
        let mut holds = true;
        for condition in transaction.items("Precondition") {
            let row = (condition.text("Table"), condition.text("Key"));
            let known = contents.rows.get(&row);
            holds &= condition.number("SchemaVersion") == Some(known.map_or(0, |known| known.1));
            if let Some((value, version)) = known {
                current.push(row_json(&row.0, &row.1, Some(value), *version));
            }
        }
        if !holds {
            return Answer::new(412, &format!(r#"{{"Rows":[{}]}}"#, current.join(",")));
        }
        let mut writes = Vec::new();
        for put in transaction.items("Put") {
            let value = decode_base64(&put.text("Value"));
            writes.push((put.text("Table"), put.text("Key"), Some(value)));
        }
        for removal in transaction.items("Remove") {
            writes.push((removal.text("Table"), removal.text("Key"), None));
        }
        let keys: Vec<_> = writes.iter().map(|(table, key, _)| format!("{table}/{key}")).collect();
        let version = contents.write(writes);
        self.record.line(&format!("store wrote {} version={version}", keys.join(" ")));
        let now_ms = self.now_ms();
        Answer::new(200, &format!(r#"{{"SchemaVersion":{version},"NowMs":{now_ms}}}"#))
    }
}

impl Handler for Store {
    fn handle(&self, request: &Message) -> Option<Answer> {
        let mut state = self.lock();
        let era = state.era.to_string();
        if state.is_away {
            return Some(Answer::new(503, "").with("Store-Era", &era));
        }
        let answer = match request.path() {
            "/v1/rows-get" => self.list(&state.contents, request),
            "/v1/rows-feed" => self.feed(&state.contents, request),
            "/v1/rows-tx" => {
                self.transact(&mut state.contents, &String::from_utf8_lossy(&request.body))
            }
            _ => Answer::new(404, ""),
        };
        Some(answer.with("Content-Type", "application/json").with("Store-Era", &era))
    }
}

fn row_json(table: &str, key: &str, value: Option<&[u8]>, version: u64) -> String {
    let value = match value {
        Some(value) => format!(r#""Value":"{}""#, encode_base64(value)),
        None => r#""Deleted":true"#.to_owned(),
    };
    format!(r#"{{"Table":"{table}","part":"","Key":"{key}","SchemaVersion":{version},{value}}}"#)
}
