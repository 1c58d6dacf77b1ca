//! HTTP server of the platform.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use indexmap::IndexMap;
use jasminetack_wire::platform;
use parking_lot::Mutex;
use serde_json::json;

use super::{Counters, HostListHistory, Store, Switches, WeightLoadLimiter};
use crate::clock;
use crate::http;
use crate::relay;

const DEFAULT_PAGE_ROWS: usize = 1_000;

/// Configuration of the platform.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Bearer key required of callers; empty for no authorization.
    pub key: String,
    /// Staleness of the returned host list, in milliseconds.
    pub host_list_lag_ms: u64,
}

struct Server {
    key: String,
    clock: clock::Clock,
    relay: relay::Relay,
    state: Mutex<State>,
    weights: Mutex<WeightLoadLimiter>,
}

#[derive(Default)]
struct State {
    store: Store,
    hosts: HostListHistory,
    objects: IndexMap<String, Vec<u8>>,
    switches: Switches,
    counters: Counters,
}

/// Starts the platform in the background and returns its address.
///
/// A relay accepts the connections, because `tiny_http` cannot close one without a response.
///
/// # Errors
///
/// Returns an error if a port cannot be bound or a thread cannot be spawned.
pub fn start(listener: TcpListener, config: Config) -> io::Result<SocketAddr> {
    let address = listener.local_addr()?;
    let backend_listener = http::listen("127.0.0.1:0")?;
    let relay = relay::Relay::start(listener, backend_listener.local_addr()?)?;
    let switches =
        Switches { host_list_lag_ms: Some(config.host_list_lag_ms), ..Switches::default() };
    let server = Server {
        key: config.key,
        clock: clock::Clock::start(),
        relay,
        state: Mutex::new(State { switches, ..State::default() }),
        weights: Mutex::default(),
    };
    http::serve(backend_listener, Arc::new(server))?;
    Ok(address)
}

impl http::Handler for Server {
    fn handle(&self, mut request: tiny_http::Request) -> io::Result<()> {
        let url = request.url().to_owned();
        let (path, query) = http::split_url(&url);
        match path {
            "/audit" => {
                let audit = json!(self.state.lock().counters);
                return http::respond_json(request, 200, &audit);
            }
            "/switch" => return self.switch(request),
            _ => {}
        }
        let switches = self.state.lock().switches.clone();
        let weights = path.strip_prefix("/v1/weights/");
        let outage = if weights.is_some() { switches.weights_outage } else { switches.outage };
        if outage == Some(true) {
            self.state.lock().counters.refused += 1;
            self.close(&request);
            return Ok(());
        }
        if !http::is_authorized(&request, &self.key) {
            return http::respond_error(request, 401, "bad_key", "the bearer key is not valid");
        }
        thread::sleep(Duration::from_millis(switches.slow_ms.unwrap_or(0)));
        if let Some(name) = path.strip_prefix("/v1/objects/") {
            return self.object(request, name);
        }
        if let Some(weights) = weights {
            return self.weights(request, weights);
        }
        if path == "/v1/hosts" || path.starts_with("/v1/hosts/") {
            return self.hosts(request, path);
        }
        match path {
            "/v1/txn" => self.transact(request),
            "/v1/read" => match http::read_json(&mut request) {
                Ok(read) => {
                    let page = self.state.lock().store.read(&read);
                    self.respond_page(request, &page)
                }
                Err(error) => http::respond_error(request, 400, "bad_json", &error.to_string()),
            },
            "/v1/rows" => {
                let prefix = http::query_parameter(query, "prefix").unwrap_or_default();
                let after = parse_parameter(query, "after").unwrap_or(0);
                let limit = parse_parameter(query, "limit").unwrap_or(DEFAULT_PAGE_ROWS);
                let page = self.state.lock().store.page(&prefix, after, limit);
                self.respond_page(request, &page)
            }
            _ => http::respond_error(request, 404, "no_such_path", "no such path"),
        }
    }
}

impl Server {
    fn switch(&self, mut request: tiny_http::Request) -> io::Result<()> {
        let given = match http::read_json(&mut request) {
            Ok(given) => given,
            Err(error) => {
                return http::respond_error(request, 400, "bad_json", &error.to_string());
            }
        };
        let mut state = self.state.lock();
        state.switches.merge(given);
        let switches = state.switches.clone();
        drop(state);
        http::respond_json(request, 200, &switches)
    }

    fn transact(&self, mut request: tiny_http::Request) -> io::Result<()> {
        let transaction: platform::Transaction = match http::read_json(&mut request) {
            Ok(transaction) => transaction,
            Err(error) => {
                return http::respond_error(request, 400, "bad_json", &error.to_string());
            }
        };
        let mut guard = self.state.lock();
        let state = &mut *guard;
        state.counters.writes += 1;
        let keys: Vec<_> = transaction.writes.iter().map(|write| write.key.clone()).collect();
        let reply = state.store.commit(transaction);
        let committed = matches!(reply, platform::TransactionReply::Committed { .. });
        if !committed {
            state.counters.conflicts += 1;
        }
        if committed && state.switches.take_lost_reply(keys.iter().map(String::as_str)) {
            state.counters.lost_replies += 1;
            drop(guard);
            self.close(&request);
            return Ok(());
        }
        drop(guard);
        http::respond_json(request, 200, &reply)
    }

    fn respond_page(
        &self,
        request: tiny_http::Request,
        page: &platform::RowsPage,
    ) -> io::Result<()> {
        let mut state = self.state.lock();
        state.counters.reads += 1;
        state.counters.rows_read += page.rows.len() as u64;
        drop(state);
        http::respond_json(request, 200, page)
    }

    fn object(&self, mut request: tiny_http::Request, name: &str) -> io::Result<()> {
        if *request.method() != tiny_http::Method::Put {
            let mut state = self.state.lock();
            state.counters.object_reads += 1;
            let content = state.objects.get(name).cloned();
            drop(state);
            return match content {
                Some(content) => request.respond(tiny_http::Response::from_data(content)),
                None => http::respond_error(request, 404, "no_such_object", "no such object"),
            };
        }
        let mut content = Vec::new();
        request.as_reader().read_to_end(&mut content)?;
        let mut guard = self.state.lock();
        let state = &mut *guard;
        state.counters.object_writes += 1;
        state.objects.insert(name.to_owned(), content);
        if state.switches.take_lost_reply([format!("objects/{name}").as_str()]) {
            state.counters.lost_replies += 1;
            drop(guard);
            self.close(&request);
            return Ok(());
        }
        drop(guard);
        http::respond_json(request, 200, &json!({}))
    }

    fn weights(&self, request: tiny_http::Request, weights: &str) -> io::Result<()> {
        let Some((adapter, version)) = weights.rsplit_once('/') else {
            return http::respond_error(request, 404, "no_such_path", "give ADAPTER/VERSION");
        };
        let (load_ms, in_flight) = {
            let mut limiter = self.weights.lock();
            (limiter.start(self.clock.now_ms()), limiter.in_flight())
        };
        thread::sleep(Duration::from_millis(load_ms));
        self.weights.lock().finish();
        let mut state = self.state.lock();
        state.counters.weights += 1;
        let max = &mut state.counters.weights_in_flight_max;
        *max = in_flight.max(*max);
        drop(state);
        http::respond_json(request, 200, &json!({ "adapter": adapter, "version": version }))
    }

    fn hosts(&self, mut request: tiny_http::Request, path: &str) -> io::Result<()> {
        let now_ms = self.clock.now_ms();
        match request.method() {
            tiny_http::Method::Post => match http::read_json(&mut request) {
                Ok(host) => {
                    self.state.lock().hosts.put(host, now_ms);
                    http::respond_json(request, 200, &json!({}))
                }
                Err(error) => http::respond_error(request, 400, "bad_json", &error.to_string()),
            },
            tiny_http::Method::Delete => {
                let name = path.trim_start_matches("/v1/hosts/");
                let removed = self.state.lock().hosts.remove(name, now_ms);
                http::respond_json(request, 200, &json!({ "removed": removed }))
            }
            _ => {
                let mut state = self.state.lock();
                state.counters.host_reads += 1;
                let lag_ms = state.switches.host_list_lag_ms.unwrap_or(0);
                let list = state.hosts.at(now_ms.saturating_sub(lag_ms));
                drop(state);
                http::respond_json(request, 200, &list)
            }
        }
    }

    fn close(&self, request: &tiny_http::Request) {
        if let Some(address) = request.remote_addr() {
            self.relay.close(*address);
        }
    }
}

fn parse_parameter<Number>(query: &str, name: &str) -> Option<Number>
where
    Number: std::str::FromStr,
{
    http::query_parameter(query, name)?.parse().ok()
}
