//! The platform's metadata store, as its protocol page describes it.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::{self, Json};

#[derive(Clone)]
struct Row {
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Rows {
    version: u64,
    tables: BTreeMap<String, BTreeMap<String, Row>>,
}

pub struct Store {
    rows: Mutex<Rows>,
    started: Instant,
}

impl Store {
    pub fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self { rows: Mutex::default(), started: Instant::now() });
        let served = Arc::clone(&store);
        let address = http::serve(move |request, sink| served.answer(request, sink))?;
        Ok((store, address))
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, text: &str) {
        let mut rows = self.rows.lock().expect("no panic");
        rows.version += 1;
        let row = Row { value: Some(base64(text.as_bytes())), version: rows.version };
        rows.tables.entry(table.to_owned()).or_default().insert(key.to_owned(), row);
    }

    fn answer(&self, request: &Request, sink: &mut TcpStream) -> io::Result<()> {
        std::thread::sleep(Duration::from_millis(4));
        let (status, body) = match request.path() {
            "/v1/rows-get" => ("200 OK", self.get(request)),
            "/v1/rows-feed" => ("200 OK", self.feed(request)),
            "/v1/rows-tx" => self.transact(&request.body),
            _ => ("404 Not Found", "{}".to_owned()),
        };
        http::write_response(sink, status, &[("Content-Type", "application/json")], body.as_bytes())
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis() + 1_000
    }

    fn get(&self, request: &Request) -> String {
        let rows = self.rows.lock().expect("no panic");
        let table = request.query("Table").unwrap_or_default();
        let from = request.query("From").unwrap_or_default();
        let listed = rows.tables.get(&table).into_iter().flatten();
        let listed = listed.filter(|(key, row)| row.value.is_some() && **key >= from);
        let listed: Vec<_> = listed.map(|(key, row)| encode(&table, key, row)).collect();
        let (text, version, now_ms) = (listed.join(","), rows.version, self.now_ms());
        format!("{{\"Rows\":[{text}],\"HasMore\":false,\"SchemaVersion\":{version},\"NowMs\":{now_ms}}}")
    }

    fn feed(&self, request: &Request) -> String {
        let rows = self.rows.lock().expect("no panic");
        let table = request.query("Table").unwrap_or_default();
        let after = request.query("after").and_then(|after| after.parse().ok()).unwrap_or(0);
        let changed = rows.tables.get(&table).into_iter().flatten();
        let mut changed: Vec<_> = changed.filter(|(_, row)| row.version > after).collect();
        changed.sort_by_key(|(_, row)| row.version);
        let changed: Vec<_> = changed.iter().map(|(key, row)| encode(&table, key, row)).collect();
        let (text, version, now_ms) = (changed.join(","), rows.version, self.now_ms());
        format!("{{\"Rows\":[{text}],\"SchemaVersion\":{version},\"NowMs\":{now_ms}}}")
    }

    fn transact(&self, body: &[u8]) -> (&'static str, String) {
        let text = String::from_utf8_lossy(body);
        let Some(call) = Json::parse(&text) else { return ("400 Bad Request", "{}".to_owned()) };
        let mut rows = self.rows.lock().expect("no panic");
        let field = |entry: &Json, name: &str| {
            entry.get(name).and_then(Json::text).unwrap_or("").to_owned()
        };
        let mut unmet = Vec::new();
        for entry in call.get("Precondition").map_or(&[][..], Json::list) {
            let (table, key) = (field(entry, "Table"), field(entry, "Key"));
            let expected = entry.get("SchemaVersion").and_then(Json::number).unwrap_or(0.0) as u64;
            let row = rows.tables.get(&table).and_then(|rows| rows.get(&key));
            let row = row.filter(|row| row.value.is_some());
            if row.map_or(0, |row| row.version) != expected {
                unmet.extend(row.map(|row| encode(&table, &key, row)));
                if row.is_none() {
                    unmet.push(encode(&table, &key, &Row { value: None, version: 0 }));
                }
            }
        }
        if !unmet.is_empty() {
            return ("412 Precondition Failed", format!("{{\"Rows\":[{}]}}", unmet.join(",")));
        }
        rows.version += 1;
        let version = rows.version;
        for entry in call.get("Put").map_or(&[][..], Json::list) {
            let row = Row { value: Some(field(entry, "Value")), version };
            let table = rows.tables.entry(field(entry, "Table")).or_default();
            table.insert(field(entry, "Key"), row);
        }
        for entry in call.get("Remove").map_or(&[][..], Json::list) {
            let table = rows.tables.entry(field(entry, "Table")).or_default();
            table.insert(field(entry, "Key"), Row { value: None, version });
        }
        ("200 OK", format!("{{\"SchemaVersion\":{version},\"NowMs\":{}}}", self.now_ms()))
    }
}

fn encode(table: &str, key: &str, row: &Row) -> String {
    let (table, key, version) = (json::quoted(table), json::quoted(key), row.version);
    let value = match &row.value {
        Some(value) => format!("\"Value\":{}", json::quoted(value)),
        None => "\"Deleted\":true".to_owned(),
    };
    format!("{{\"Table\":{table},\"part\":\"\",\"Key\":{key},{value},\"SchemaVersion\":{version}}}")
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group.iter().fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - group.len()));
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) & 63;
            text.push(if digit <= group.len() { char::from(DIGITS[index as usize]) } else { '=' });
        }
    }
    text
}
