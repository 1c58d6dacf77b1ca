//! Stand-in for the platform's store: rows in tables, one counter of versions, a feed of changes.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::http;
use crate::json::{self, Value};

type RowKey = (String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Values in Base64, with the version that wrote them.
    rows: BTreeMap<RowKey, (String, u64)>,
    /// Latest change of each row; the value is missing if it was removed.
    changes: BTreeMap<RowKey, (Option<String>, u64)>,
}

impl Rows {
    fn write(&mut self, writes: Vec<(RowKey, Option<String>)>) {
        self.version += 1;
        for (key, value) in writes {
            match &value {
                Some(value) => self.rows.insert(key.clone(), (value.clone(), self.version)),
                None => self.rows.remove(&key),
            };
            self.changes.insert(key, (value, self.version));
        }
    }
}

/// Stand-in for the platform's store.
pub struct Store {
    rows: Mutex<Rows>,
    started: Instant,
    /// Address of the store.
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Arc::new(Self { rows: Mutex::default(), started: Instant::now(), address });
        let accepting = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&accepting);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let value = Some(json::base64(value.as_bytes()));
        let key = (table.to_owned(), key.to_owned());
        self.rows.lock().expect("the rows").write(vec![(key, value)]);
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let key = (table.to_owned(), key.to_owned());
        self.rows.lock().expect("the rows").write(vec![(key, None)]);
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = http::read(&mut reader).ok()?;
            let (status, body) = self.respond(&request);
            let length = body.len();
            let response = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
            );
            writer.write_all(response.as_bytes()).ok()?;
        }
    }

    fn respond(&self, request: &http::Message) -> (u16, String) {
        let (_, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let table = parameter(query, "Table");
        let rows = self.rows.lock().expect("the rows");
        match path {
            "/v1/rows-get" => {
                let from = parameter(query, "From");
                let listed = rows.rows.iter().filter(|((of, key), _)| *of == table && *key >= from);
                let listed = listed.map(|((table, key), (value, version))| {
                    encode(table, key, Some(value), *version)
                });
                let listed = listed.collect::<Vec<_>>().join(",");
                (200, self.answer(&listed, rows.version))
            }
            "/v1/rows-feed" => {
                let after: u64 = parameter(query, "after").parse().unwrap_or(0);
                let mut changed: Vec<_> = rows.changes.iter().collect();
                changed.retain(|((of, _), (_, version))| *of == table && *version > after);
                changed.sort_by_key(|(_, (_, version))| *version);
                let changed = changed.into_iter().map(|((table, key), (value, version))| {
                    encode(table, key, value.as_ref(), *version)
                });
                let changed = changed.collect::<Vec<_>>().join(",");
                (200, self.answer(&changed, rows.version))
            }
            "/v1/rows-tx" => {
                drop(rows);
                self.transact(&String::from_utf8_lossy(&request.body))
            }
            _ => (404, String::new()),
        }
    }

    fn answer(&self, rows: &str, version: u64) -> String {
        let now_ms = self.started.elapsed().as_millis() + 1_000;
        format!(
            "{{\"Rows\":[{rows}],\"HasMore\":false,\"SchemaVersion\":{version},\"NowMs\":{now_ms}}}"
        )
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(transaction) = json::parse(body) else { return (400, String::new()) };
        let mut rows = self.rows.lock().expect("the rows");
        let row_key =
            |entry: &Value| (entry.text("Table").to_owned(), entry.text("Key").to_owned());
        let mut is_met = true;
        let mut current = Vec::new();
        for condition in transaction.items("Precondition") {
            let key = row_key(condition);
            let known = rows.rows.get(&key);
            let version = known.map_or(0, |(_, version)| *version);
            is_met &= condition.number("SchemaVersion") == Some(version as f64);
            if let Some((value, version)) = known {
                current.push(encode(&key.0, &key.1, Some(value), *version));
            }
        }
        if !is_met {
            return (412, format!("{{\"Rows\":[{}]}}", current.join(",")));
        }
        let puts = transaction.items("Put").iter();
        let puts = puts.map(|put| (row_key(put), Some(put.text("Value").to_owned())));
        let removals = transaction.items("Remove").iter().map(|removal| (row_key(removal), None));
        rows.write(puts.chain(removals).collect());
        (200, self.answer("", rows.version))
    }
}

fn encode(table: &str, key: &str, value: Option<&String>, version: u64) -> String {
    let value = match value {
        Some(value) => format!("\"Value\":\"{value}\""),
        None => "\"Deleted\":true".to_owned(),
    };
    format!(
        "{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",{value},\"SchemaVersion\":{version}}}"
    )
}

/// Returns a query parameter, or an empty text.
fn parameter(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value);
    let mut text = Vec::new();
    let mut bytes = value.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            text.push(byte);
            continue;
        }
        let digits: Vec<u8> = bytes.by_ref().take(2).collect();
        let code = std::str::from_utf8(&digits).ok();
        text.extend(code.and_then(|digits| u8::from_str_radix(digits, 16).ok()));
    }
    String::from_utf8_lossy(&text).into_owned()
}
