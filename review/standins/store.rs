//! Stand-in for the platform's metadata store: rows, transactions and the feed of changes.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json::{Json, from_base64, to_base64};

type Key = (String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, (Vec<u8>, u64)>,
    /// Every change: the version, the row and its value, or `None` for a removal.
    changes: Vec<(u64, Key, Option<Vec<u8>>)>,
}

impl Rows {
    fn write(&mut self, writes: Vec<(Key, Option<Vec<u8>>)>) -> u64 {
        self.version += 1;
        for (key, value) in writes {
            match &value {
                Some(value) => {
                    self.rows.insert(key.clone(), (value.clone(), self.version));
                }
                None => {
                    self.rows.remove(&key);
                }
            }
            self.changes.push((self.version, key, value));
        }
        self.version
    }
}

pub struct Store {
    rows: Mutex<Rows>,
    started: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: &str) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Arc::new(Self { rows: Mutex::default(), started: Instant::now(), address });
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.read(false) {
                        // The platform's time for a call.
                        thread::sleep(Duration::from_millis(4));
                        let answer = store.answer(&request);
                        if connection.stream.write_all(answer.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        let write = ((table.to_owned(), key.to_owned()), Some(value.as_bytes().to_vec()));
        self.rows.lock().unwrap().write(vec![write]);
    }

    pub fn remove(&self, table: &str, key: &str) {
        let key = (table.to_owned(), key.to_owned());
        let mut rows = self.rows.lock().unwrap();
        if rows.rows.contains_key(&key) {
            rows.write(vec![(key, None)]);
        }
    }

    pub fn count(&self, table: &str) -> usize {
        let rows = self.rows.lock().unwrap();
        rows.rows.keys().filter(|(known, key)| known == table && !key.starts_with("late/")).count()
    }

    fn answer(&self, request: &Message) -> String {
        let (_, path, query) = request.target();
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .into_iter()
                .find(|(key, _)| *key == name)
                .map_or(String::new(), |(_, value)| unescape(value))
        };
        let now_ms = self.started.elapsed().as_millis();
        let mut rows = self.rows.lock().unwrap();
        match path {
            "/v1/rows-get" => {
                let (table, from) = (parameter("Table"), parameter("From"));
                let listed =
                    rows.rows.iter().filter(|((known, key), _)| *known == table && *key >= from);
                let listed: Vec<_> = listed
                    .map(|((table, key), (value, version))| {
                        row(table, key, Some(value.as_slice()), *version)
                    })
                    .collect();
                json(
                    200,
                    &format!(
                        "{{\"Rows\":[{}],\"HasMore\":false,\"SchemaVersion\":{},\"NowMs\":{now_ms}}}",
                        listed.join(","),
                        rows.version
                    ),
                )
            }
            "/v1/rows-feed" => {
                let table = parameter("Table");
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let changes = rows
                    .changes
                    .iter()
                    .filter(|(version, (known, _), _)| *version > after && *known == table);
                let changes: Vec<_> = changes
                    .map(|(version, (table, key), value)| {
                        row(table, key, value.as_deref(), *version)
                    })
                    .collect();
                json(
                    200,
                    &format!(
                        "{{\"Rows\":[{}],\"SchemaVersion\":{},\"NowMs\":{now_ms}}}",
                        changes.join(","),
                        rows.version
                    ),
                )
            }
            "/v1/rows-tx" => {
                let Some(transaction) = Json::parse(&request.body) else {
                    return json(400, "{}");
                };
                let key = |entry: &Json| {
                    (entry.get("Table").text().to_owned(), entry.get("Key").text().to_owned())
                };
                let mut current = Vec::new();
                let mut holds = true;
                for condition in transaction.get("Precondition").list() {
                    let key = key(condition);
                    let known = rows.rows.get(&key);
                    let version = known.map_or(0, |(_, version)| *version);
                    holds &= condition.get("SchemaVersion").number() == Some(version as f64);
                    if let Some((value, version)) = known {
                        current.push(row(&key.0, &key.1, Some(value.as_slice()), *version));
                    }
                }
                if !holds {
                    return json(
                        412,
                        &format!(
                            "{{\"Rows\":[{}],\"SchemaVersion\":{},\"NowMs\":{now_ms}}}",
                            current.join(","),
                            rows.version
                        ),
                    );
                }
                let mut writes = Vec::new();
                for put in transaction.get("Put").list() {
                    writes.push((key(put), Some(from_base64(put.get("Value").text()))));
                }
                for removal in transaction.get("Remove").list() {
                    writes.push((key(removal), None));
                }
                let version = rows.write(writes);
                json(200, &format!("{{\"SchemaVersion\":{version},\"NowMs\":{now_ms}}}"))
            }
            _ => json(404, "{}"),
        }
    }
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        rest = tail;
        if *first == b'%' && tail.len() >= 2 {
            let hex = std::str::from_utf8(&tail[..2]).unwrap_or("");
            bytes.push(u8::from_str_radix(hex, 16).unwrap_or(b'%'));
            rest = &tail[2..];
        } else {
            bytes.push(*first);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn row(table: &str, key: &str, value: Option<&[u8]>, version: u64) -> String {
    let value = match value {
        Some(value) => format!("\"Value\":\"{}\"", to_base64(value)),
        None => "\"Deleted\":true".to_owned(),
    };
    format!(
        "{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",{value},\"SchemaVersion\":{version}}}"
    )
}

fn json(status: u16, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
