//! Program `standin-platform`: table service and host list in memory.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;

use jasminetack_standins::http;
use jasminetack_wire::platform;
use parking_lot::Mutex;

#[derive(Default)]
struct Store {
    head_version: u64,
    rows: BTreeMap<String, (u64, Option<serde_json::Value>)>,
    hosts: Vec<platform::Host>,
}

impl Store {
    fn commit(&mut self, transaction: platform::Transaction) -> platform::TransactionReply {
        let mut conflicts = Vec::new();
        for condition in transaction.conditions {
            let stored = self.rows.get(&condition.key);
            let (version, value) = match stored {
                Some((version, Some(value))) => (Some(*version), Some(value.clone())),
                Some((_, None)) | None => (None, None),
            };
            if version != condition.version {
                let version = stored.map_or(0, |(version, _)| *version);
                conflicts.push(platform::StoredRow { key: condition.key, version, value });
            }
        }
        if !conflicts.is_empty() {
            return platform::TransactionReply::Conflict { rows: conflicts };
        }
        self.head_version += 1;
        for write in transaction.writes {
            self.rows.insert(write.key, (self.head_version, write.value));
        }
        platform::TransactionReply::Committed { version: self.head_version }
    }

    fn page(&self, prefix: &str, after: u64) -> platform::RowsPage {
        let mut rows: Vec<_> = self
            .rows
            .iter()
            .filter(|(key, (version, _))| key.starts_with(prefix) && *version > after)
            .map(|(key, (version, value))| platform::StoredRow {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            })
            .collect();
        rows.sort_by_key(|row| row.version);
        platform::RowsPage { rows, head_version: self.head_version }
    }
}

fn query(url: &str, name: &str) -> String {
    let parameters = url.split_once('?').map_or("", |(_, parameters)| parameters);
    for parameter in parameters.split('&') {
        let Some((key, value)) = parameter.split_once('=') else {
            continue;
        };
        if key == name {
            return value.to_owned();
        }
    }
    String::new()
}

fn serve(store: &Mutex<Store>, mut request: tiny_http::Request) -> std::io::Result<()> {
    let url = request.url().to_owned();
    let path = url.split('?').next().unwrap_or_default();
    match path {
        "/v1/txn" => {
            let transaction = serde_json::from_reader(request.as_reader())?;
            let reply = store.lock().commit(transaction);
            http::respond_json(request, 200, &reply)
        }
        "/v1/rows" => {
            let after = query(&url, "after").parse().unwrap_or(0);
            let page = store.lock().page(&query(&url, "prefix"), after);
            http::respond_json(request, 200, &page)
        }
        "/v1/hosts" if *request.method() == tiny_http::Method::Post => {
            let host: platform::Host = serde_json::from_reader(request.as_reader())?;
            let mut store = store.lock();
            store.hosts.retain(|known| known.name != host.name);
            store.hosts.push(host);
            http::respond_json(request, 200, &serde_json::json!({}))
        }
        "/v1/hosts" => {
            let hosts = store.lock().hosts.clone();
            http::respond_json(request, 200, &platform::HostList { hosts })
        }
        _ => http::respond_json(request, 404, &serde_json::json!({})),
    }
}

fn main() {
    let flags = xflags::parse_or_exit! {
        /// Address to listen on.
        required --address address: String
    };
    let server = match tiny_http::Server::http(&flags.address) {
        Ok(server) => Arc::new(server),
        Err(error) => {
            eprintln!("cannot listen on {}: {error}", flags.address);
            std::process::exit(1);
        }
    };
    let store = Arc::new(Mutex::new(Store::default()));
    let threads: Vec<_> = (0..8)
        .map(|_| {
            let (server, store) = (Arc::clone(&server), Arc::clone(&store));
            thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    let _ = serve(&store, request);
                }
            })
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
}
