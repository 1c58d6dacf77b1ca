//! Stand-in for the platform's row store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::time;

use super::http_server::{self, Body, Handler};
use super::row_store::RowStore;
use super::store_faults::StoreFaults;

/// Exceeds the response timeout of every test.
const UNRESPONSIVE_DURATION: Duration = Duration::from_secs(600);

/// Header with the era of the store.
const ERA_HEADER: &str = "store-era";
/// Tables that only the operator and the workers write; they repeat what a restore loses.
const REPEATED_TABLES: [&str; 2] = ["op", "servers"];

/// Stand-in for the platform's row store.
#[derive(Debug)]
pub struct Store {
    rows: Mutex<RowStore>,
    /// Copy from which the store is restored.
    copy: Mutex<Option<RowStore>>,
    /// Era as stated in responses; 0 if they state none.
    era: AtomicU64,
    faults: Mutex<StoreFaults>,
    /// Number of reads of the change feed, by table.
    feed_reads: Mutex<BTreeMap<String, usize>>,
    started: Instant,
}

impl Store {
    /// Starts a store and returns it together with its address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available or the thread cannot be spawned.
    pub fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self {
            rows: Mutex::default(),
            copy: Mutex::default(),
            era: AtomicU64::new(0),
            faults: Mutex::default(),
            feed_reads: Mutex::default(),
            started: Instant::now(),
        });
        let address = http_server::serve(Arc::clone(&store), ([127, 0, 0, 1], 0).into())?;
        Ok((store, address))
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        *self.faults.lock() = faults;
    }

    /// Has responses state an era from now on.
    pub fn state_era(&self) {
        self.era.store(1, Ordering::Relaxed);
    }

    /// Takes the copy from which the next restore starts.
    pub fn take_copy(&self) {
        *self.copy.lock() = Some(self.rows.lock().clone());
    }

    /// Restores the store from the copy, if one was taken. The operator and the workers repeat what they wrote
    /// since the copy.
    pub fn restore(&self) {
        let Some(copy) = self.copy.lock().take() else { return };
        self.rows.lock().restore(copy, &REPEATED_TABLES);
        self.era.fetch_add(1, Ordering::Relaxed);
    }

    /// Writes a JSON row, as the operator or a worker would.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let value = Some(value.to_string().into_bytes());
        self.rows.lock().write(vec![(table.to_owned(), key.to_owned(), value)]);
    }

    /// Writes a row with raw bytes, which need not be JSON.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        let value = Some(value.to_vec());
        self.rows.lock().write(vec![(table.to_owned(), key.to_owned(), value)]);
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.rows.lock().write(vec![(table.to_owned(), key.to_owned(), None)]);
    }

    /// Returns the keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        self.rows.lock().list(table, "").into_iter().map(|(key, _)| key).collect()
    }

    /// Returns the number of reads of the change feed of a table.
    pub fn feed_reads(&self, table: &str) -> usize {
        self.feed_reads.lock().get(table).copied().unwrap_or(0)
    }

    /// Discards the change history, so that followers must list the rows again.
    pub fn compact_history(&self) {
        self.rows.lock().compact_history();
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn list(&self, query: &str) -> Response<Body> {
        let (table, from) = (query_parameter(query, "Table"), query_parameter(query, "From"));
        let rows = self.rows.lock();
        let listed = rows.list(&table, &from).into_iter();
        let listed = listed.map(|(key, row)| row_json(&table, &key, Some(&row.value), row.version));
        let body = json!({
            "Rows": listed.collect::<Vec<_>>(),
            "HasMore": false,
            "SchemaVersion": rows.version(),
            "NowMs": self.now_ms(),
        });
        http_server::json_response(StatusCode::OK, &body)
    }

    fn feed(&self, query: &str) -> Response<Body> {
        let table = query_parameter(query, "Table");
        let after = query_parameter(query, "after").parse().unwrap_or(0);
        *self.feed_reads.lock().entry(table.clone()).or_default() += 1;
        if self.faults.lock().withholds_changes {
            let body = json!({"Rows": [], "SchemaVersion": after, "NowMs": self.now_ms()});
            return http_server::json_response(StatusCode::OK, &body);
        }
        let rows = self.rows.lock();
        let Some(changes) = rows.changes(&table, after) else {
            return http_server::response(StatusCode::GONE, "");
        };
        let changed = changes
            .iter()
            .map(|change| row_json(&table, &change.key, change.value.as_deref(), change.version));
        let body = json!({
            "Rows": changed.collect::<Vec<_>>(),
            "SchemaVersion": rows.version(),
            "NowMs": self.now_ms(),
        });
        http_server::json_response(StatusCode::OK, &body)
    }

    fn transact(&self, body: &[u8]) -> Response<Body> {
        let Ok(transaction) = serde_json::from_slice::<Value>(body) else {
            return http_server::response(StatusCode::BAD_REQUEST, "not JSON");
        };
        let mut rows = self.rows.lock();
        let mut current = Vec::new();
        let mut conditions_hold = true;
        for condition in array_items(&transaction, "Precondition") {
            let (table, key) = (string_field(condition, "Table"), string_field(condition, "Key"));
            let row = rows.get(&table, &key);
            let version = row.map_or(0, |row| row.version);
            conditions_hold &= condition["SchemaVersion"].as_u64() == Some(version);
            if let Some(row) = row {
                current.push(row_json(&table, &key, Some(&row.value), row.version));
            }
        }
        if !conditions_hold {
            return http_server::json_response(
                StatusCode::PRECONDITION_FAILED,
                &json!({"Rows": current}),
            );
        }
        let mut writes = Vec::new();
        for put in array_items(&transaction, "Put") {
            let value = STANDARD.decode(string_field(put, "Value")).unwrap_or_default();
            writes.push((string_field(put, "Table"), string_field(put, "Key"), Some(value)));
        }
        for removal in array_items(&transaction, "Remove") {
            writes.push((string_field(removal, "Table"), string_field(removal, "Key"), None));
        }
        let version = rows.write(writes);
        let body = json!({"SchemaVersion": version, "NowMs": self.now_ms()});
        http_server::json_response(StatusCode::OK, &body)
    }
}

impl Handler for Store {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let faults = *self.faults.lock();
        time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.is_unresponsive {
            time::sleep(UNRESPONSIVE_DURATION).await;
            return None;
        }
        if faults.is_down {
            return Some(http_server::response(StatusCode::SERVICE_UNAVAILABLE, ""));
        }
        let (head, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let query = head.uri.query().unwrap_or("");
        let era = self.era.load(Ordering::Relaxed);
        let mut response = match head.uri.path() {
            "/v1/rows-get" => self.list(query),
            "/v1/rows-feed" => self.feed(query),
            "/v1/rows-tx" => {
                let response = self.transact(&body);
                if faults.drops_responses {
                    return None;
                }
                response
            }
            _ => http_server::response(StatusCode::NOT_FOUND, ""),
        };
        if era > 0 {
            response.headers_mut().insert(ERA_HEADER, HeaderValue::from(era));
        }
        Some(response)
    }
}

fn row_json(table: &str, key: &str, value: Option<&[u8]>, version: u64) -> Value {
    let row = json!({"Table": table, "part": "", "Key": key, "SchemaVersion": version});
    let Value::Object(mut row) = row else { return row };
    match value {
        Some(value) => row.insert("Value".to_owned(), json!(STANDARD.encode(value))),
        None => row.insert("Deleted".to_owned(), json!(true)),
    };
    Value::Object(row)
}

fn array_items<'a>(transaction: &'a Value, field: &str) -> impl Iterator<Item = &'a Value> {
    transaction[field].as_array().into_iter().flatten()
}

fn string_field(entry: &Value, field: &str) -> String {
    entry[field].as_str().unwrap_or_default().to_owned()
}

/// Returns a query parameter, or an empty string if it is missing.
///
/// Only the percent escapes that occur in the keys of tests are decoded: `%2F` and `%00`.
fn query_parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.into_iter().find(|(key, _)| *key == name).map_or("", |(_, value)| value);
    value.replace("%2F", "/").replace("%00", "\0")
}
