//! Test fixture that runs the traffic side of a daemon in the test process.

#![allow(clippy::unwrap_used, dead_code)]

use std::ffi::OsString;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use indexmap::IndexSet;
use jasminetack_domain::locality;
use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_domain::route;
use jasminetack_domain::table;
use jasminetack_entry::clock;
use jasminetack_entry::decision_log;
use jasminetack_entry::in_flight;
use jasminetack_entry::metrics;
use jasminetack_entry::platform;
use jasminetack_entry::settings;
use jasminetack_entry::snapshot;
use jasminetack_entry::traffic;
use jasminetack_wire::peer;
use parking_lot::Mutex;
use sha2::Digest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time;

pub mod store;

/// Timeout of every wait in a test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// A started order and the way to answer it.
pub type ReceivedOrder = (traffic::ModelRequest, mpsc::Sender<traffic::ResponseEvent>);

/// Test double of an owner: hands received orders to the test, which sends the answers.
#[derive(Clone, Debug)]
pub struct ScriptedOwner {
    received: mpsc::UnboundedSender<ReceivedOrder>,
}

impl ScriptedOwner {
    pub fn new() -> (Self, mpsc::UnboundedReceiver<ReceivedOrder>) {
        let (received, orders) = mpsc::unbounded_channel();
        (Self { received }, orders)
    }
}

impl traffic::LocalOwner for ScriptedOwner {
    fn start(&self, order: traffic::ModelRequest) -> mpsc::Receiver<traffic::ResponseEvent> {
        let (sender, receiver) = mpsc::channel(8);
        self.received.send((order, sender)).unwrap();
        receiver
    }
}

/// Callers' port in front of two workers of one base model, which a `ScriptedOwner` owns.
pub struct Daemon {
    pub address: SocketAddr,
    pub orders: mpsc::UnboundedReceiver<ReceivedOrder>,
    pub snapshot: Arc<ArcSwap<snapshot::Snapshot>>,
    pub decisions: Arc<decision_log::DecisionLog>,
    pub models: Arc<traffic::ModelContext<route::Scored, ScriptedOwner>>,
}

impl Daemon {
    /// Starts a daemon with additional flags, separated by spaces.
    pub async fn start(flags: &str) -> Self {
        Self::start_with(flags, &store::MemoryStore::default()).await
    }

    pub async fn start_with(flags: &str, store: &store::MemoryStore) -> Self {
        let base = "--host e1 --region north --failure-domain a --callers-address 127.0.0.1:0 \
                    --peers-address 127.0.0.1:0 --ops-address 127.0.0.1:0 \
                    --platform-url http://127.0.0.1:1 --platform-key p --peer-secret s";
        let arguments = base.split_whitespace().chain(flags.split_whitespace());
        let arguments = arguments.map(OsString::from).collect();
        let settings = Arc::new(settings::Settings::from_arguments(arguments).unwrap());
        let snapshot = Arc::new(ArcSwap::from_pointee(fleet()));
        let clock = clock::Clock::start();
        let decisions = Arc::new(decision_log::DecisionLog::new(100));
        let (owner, orders) = ScriptedOwner::new();
        let peers = traffic::PeerClient::new(peer::Hello::default());
        let in_flight = in_flight::InFlight::default();
        let retention_ms = settings.claim_retention_ms;
        let claims = platform::Claims::start(store, 1, retention_ms, &in_flight).unwrap();
        let limiter = limiter();
        let services = traffic::ServiceContext::new(
            Arc::clone(&settings),
            Arc::clone(&snapshot),
            clock,
            Arc::clone(&decisions),
            claims,
            limiter.clone(),
        );
        let models = Arc::new(traffic::ModelContext {
            owners: traffic::OwnerClient::new(settings.host.clone(), owner, peers),
            router: Arc::new(traffic::Router::new(route::Scored::new(16), 1)),
            metrics: Arc::new(metrics::Metrics::new()),
            attempt_budgets: Mutex::new(traffic::AttemptBudgets::new(&settings)),
            snapshot: Arc::clone(&snapshot),
            decisions: Arc::clone(&decisions),
            in_flight,
            settings,
            clock,
        });
        let server = traffic::Server::new(Arc::clone(&models), Arc::new(services), limiter);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(server.serve(listener));
        Self { address, orders, snapshot, decisions, models }
    }

    /// Publishes a modified copy of the snapshot.
    pub fn change<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut snapshot::Snapshot),
    {
        let mut snapshot = snapshot::Snapshot::clone(&self.snapshot.load());
        change(&mut snapshot);
        self.snapshot.store(Arc::new(snapshot));
    }

    /// Waits for the next order that the owner receives.
    pub async fn order(&mut self) -> ReceivedOrder {
        time::timeout(TEST_TIMEOUT, self.orders.recv()).await.unwrap().unwrap()
    }

    /// Sends a request on a new connection without reading the response.
    pub async fn send(&self, head: &str, body: &str) -> Connection {
        let length = body.len();
        let text = format!("{head}\r\nhost: test\r\ncontent-length: {length}\r\n\r\n{body}");
        self.send_text(&text).await
    }

    /// Sends raw bytes on a new connection.
    pub async fn send_text(&self, text: &str) -> Connection {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        Connection { stream, text: String::new() }
    }

    /// Sends a completion request of team `desk`.
    pub async fn complete(&self, headers: &str, body: &str) -> Connection {
        let head = format!("POST /v1/completions HTTP/1.1\r\nauthorization: Bearer desk{headers}");
        self.send(&head, body).await
    }
}

/// Port that refuses connections; it stays bound without listening, so that no other test gets it.
pub struct RefusingPort(TcpSocket);

impl RefusingPort {
    pub fn bind() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        Self(socket)
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }
}

/// Caller's end of a connection.
pub struct Connection {
    pub stream: TcpStream,
    /// Data received so far.
    pub text: String,
}

impl Connection {
    /// Reads until the received data contains the text.
    pub async fn read_until(&mut self, text: &str) -> &str {
        while !self.text.contains(text) {
            let count = self.read().await;
            // Truncated so that a long response does not flood the output of a failed test.
            let start: String = self.text.chars().take(1_000).collect();
            assert!(count > 0, "closed before {text:?} arrived: {start:?}");
        }
        &self.text
    }

    /// Reads until the connection ends; a reset, as after an abort, counts as the end.
    pub async fn read_to_end(&mut self) -> &str {
        while self.read().await > 0 {}
        &self.text
    }

    async fn read(&mut self) -> usize {
        let mut buffer = [0; 4_096];
        let read =
            time::timeout(TEST_TIMEOUT, self.stream.read(&mut buffer)).await.expect("an answer");
        let count = read.unwrap_or(0);
        self.text.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
        count
    }
}

/// Asserts the status, the error code and the outcome header of an error response.
pub async fn expect_failure(connection: &mut Connection, status: u16, code: &str, outcome: &str) {
    let text = connection.read_until("request_id\":").await;
    assert!(text.starts_with(&format!("HTTP/1.1 {status} ")), "{text}");
    assert!(text.contains(&format!("\"code\":\"{code}\"")), "{text}");
    assert!(text.contains(&format!("jasminetack-outcome: {outcome}\r\n")), "{text}");
    assert!(text.contains("jasminetack-request-id: e1-"), "{text}");
}

pub fn head(content_type: &str) -> traffic::ResponseEvent {
    let content_type = content_type.to_owned();
    traffic::ResponseEvent::Head { status: 200, content_type, outstanding: 1 }
}

pub fn chunk(text: &str) -> traffic::ResponseEvent {
    traffic::ResponseEvent::Chunk(text.to_owned().into())
}

fn fleet() -> snapshot::Snapshot {
    let mut table = table::Table::default();
    let limits = table::Limits::default();
    for (version, team) in (1..).zip(["desk", "other"]) {
        let hash = table::KeyHash::new(sha2::Sha256::digest(team).into());
        let row = table::TeamRow { key_hashes: vec![hash], limits: limits.clone() };
        let key = table::RowKey::new(table::RowKind::Team, team);
        table.apply(key, version, Some(table::Row::Team(row)));
        let row = table::AdapterRow {
            team: name::TeamName::from(team),
            base_model: name::BaseModelName::from("base"),
            versions: vec![1, 2],
            limits: table::Limits { class: request::Class::Normal, ..limits.clone() },
        };
        let key = table::RowKey::new(table::RowKind::Adapter, &format!("{team}-offer"));
        table.apply(key, version + 10, Some(table::Row::Adapter(row)));
    }
    let repeatable =
        vec![table::CallPattern { method: "GET".to_owned(), path_prefix: "/calendar".to_owned() }];
    let row = table::ServiceRow { repeatable, limits };
    let key = table::RowKey::new(table::RowKind::Service, "slots");
    table.apply(key, 20, Some(table::Row::Service(row)));
    let mut fleet = route::Fleet::default();
    for worker in ["w1", "w2"] {
        fleet.insert(route::WorkerView {
            name: name::WorkerName::from(worker),
            locality: locality::Locality::new(
                name::RegionName::from("north"),
                name::FailureDomainName::from("a"),
            ),
            base_model: name::BaseModelName::from("base"),
            owner: Some(name::HostName::from("e1")),
            loaded: IndexSet::new(),
            outstanding: 0,
            leaving: false,
        });
    }
    snapshot::Snapshot {
        table: Arc::new(table),
        fleet: Arc::new(fleet),
        readiness: snapshot::Readiness::Table(table::FreshnessStatus::Current),
        ..Default::default()
    }
}

/// Creates the limiter of a daemon without peers.
pub fn limiter() -> traffic::ConcurrencyLimiter {
    let peers = traffic::PeerClient::new(peer::Hello::default());
    let snapshot = Arc::new(ArcSwap::from_pointee(fleet()));
    traffic::ConcurrencyLimiter::new(
        name::HostName::from("e1"),
        snapshot,
        clock::Clock::start(),
        peers,
    )
}
