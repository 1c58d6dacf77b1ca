//! Control state of a daemon without threads.

#![allow(dead_code)]

use std::sync::Arc;

use arc_swap::ArcSwap;
use bytes::Bytes;
use hyper::http::{request, response};
use hyper::{HeaderMap, StatusCode};
use jasminetack_domain::{dispatch, ingress, locality, name, placement, team, upstream};
use jasminetack_edge::{clock, control, dialect, metrics, store, view};
use jasminetack_wire::fleet;
use parking_lot::Mutex;
use tokio::sync::{mpsc, watch};

/// Time of all calls unless a test needs another.
pub const NOW_MS: u64 = 10_000;

/// Key of the operator's entry that `NameDialect` decodes as a configuration with teams; any other one is
/// a configuration without. The value is the version.
pub const CONFIGURATION_WITH_TEAMS: &str = "config-with-teams";

/// Key of the operator's entry that `NameDialect` decodes as a configuration with the service of the workers.
pub const CONFIGURATION_WITH_ENGINES: &str = "config-with-engines";

const CLIENT_LIMITS: ingress::ClientLimits = ingress::ClientLimits {
    max_header_bytes: 16_384,
    max_body_bytes: 4_096,
    idle_timeout_ms: 15_000,
};

/// Codec of entries that state nothing but the name of a worker or the version of a configuration.
pub struct NameDialect;

impl dialect::Dialect for NameDialect {
    fn decode_worker_entry(
        &self,
        key: &str,
        _value: &[u8],
    ) -> Result<upstream::Upstream, dialect::DecodeError> {
        Ok(upstream::Upstream {
            name: name::WorkerName::from(key),
            service: name::ServiceName::from("llm"),
            address: ([127, 0, 0, 1], 80).into(),
            locality: locality(),
            slots: 4,
            is_draining: key.starts_with("draining"),
            started_unix_ms: 1,
            base_models: Vec::new(),
            adapters: Vec::new(),
        })
    }

    fn decode_key(&self, _headers: &HeaderMap) -> Option<team::KeyDigest> {
        None
    }

    fn decode_request(
        &self,
        _head: &request::Parts,
    ) -> Result<dialect::RequestMetadata, dialect::DecodeError> {
        unreachable!("the control thread reads no requests")
    }

    fn set_forward_headers(&self, _target: &mut HeaderMap, _facts: &dialect::ForwardMetadata<'_>) {}

    fn decode_response(
        &self,
        _head: &response::Parts,
        _request_id: &name::RequestId,
    ) -> dialect::ResponseMetadata {
        unreachable!("the control thread reads no responses")
    }

    fn decode_operator_entry(
        &self,
        key: &str,
        value: &[u8],
    ) -> Result<dialect::OperatorEntry, dialect::DecodeError> {
        let teams = (key == CONFIGURATION_WITH_TEAMS).then(team::TeamDirectory::default);
        let (version, limits) = (u64::from(value[0]), CLIENT_LIMITS);
        let services = (key == CONFIGURATION_WITH_ENGINES).then(engine_service);
        let ingress = ingress::Ingress::new(version, [], services, limits, teams);
        Ok(dialect::OperatorEntry::Ingress(ingress))
    }

    fn encode_order(
        &self,
        _order: &placement::Order,
        _context: &dialect::OrderContext,
    ) -> (&'static str, Bytes) {
        ("", Bytes::new())
    }

    fn decode_order_result(&self, _status: StatusCode) -> placement::OrderResult {
        placement::OrderResult::Unanswered
    }

    fn set_target_worker(&self, _target: &mut HeaderMap, _worker: &name::WorkerName) {}

    fn report_path(&self) -> &'static str {
        ""
    }

    fn decode_report(&self, _body: &[u8]) -> Result<dialect::WorkerReport, dialect::DecodeError> {
        Ok(dialect::WorkerReport::default())
    }

    fn readiness_path(&self) -> &'static str {
        ""
    }
}

fn engine_service() -> ingress::ServiceProfile {
    let engine = ingress::EngineProfile {
        adapter_slots: 4,
        weights_mb: 1_000.0,
        loads_per_s: 4.0,
        memory_capacity_tokens: None,
        base_models: Vec::new(),
    };
    ingress::ServiceProfile { name: name::ServiceName::from("llm"), engine: Some(engine) }
}

pub fn locality() -> locality::Locality {
    locality::Locality::new(name::RegionName::from("r"), name::FailureDomainName::from("a"))
}

/// Control state of a daemon with the queues to its other threads.
pub struct Daemon {
    pub state: control::ControlState<NameDialect>,
    datagrams: mpsc::UnboundedReceiver<control::OutgoingDatagram>,
    store_jobs: crossbeam_channel::Receiver<control::StoreJob>,
    worker_jobs: mpsc::UnboundedReceiver<control::WorkerJob>,
    operator_reads: crossbeam_channel::Receiver<()>,
    workers_reads: crossbeam_channel::Receiver<()>,
    pub view: Arc<ArcSwap<view::View>>,
    pub chooser: Arc<Mutex<dispatch::Chooser>>,
}

impl Daemon {
    /// Creates a daemon that has read nothing yet.
    pub fn start(
        host: &str,
        address: std::net::SocketAddr,
        times: control::LeaseTimes,
        started_unix_ms: u64,
        now_ms: u64,
    ) -> Self {
        let chooser = Arc::default();
        let view = Arc::new(ArcSwap::from_pointee(view::View::default()));
        let (worker_jobs, queued_worker_jobs) = mpsc::unbounded_channel();
        let (operator_reads, queued_operator_reads) = crossbeam_channel::unbounded();
        let (workers_reads, queued_workers_reads) = crossbeam_channel::unbounded();
        let (datagrams, outgoing) = mpsc::unbounded_channel();
        let (store_jobs, queued_jobs) = crossbeam_channel::unbounded();
        let state = control::ControlState::new(
            Arc::new(NameDialect),
            control::Identity { host: name::HostName::from(host), address, locality: locality() },
            times,
            control::Publisher::new(Arc::clone(&view), watch::channel(0).0),
            control::Outputs { store_jobs, operator_reads, workers_reads, worker_jobs, datagrams },
            Arc::clone(&chooser),
            Arc::new(metrics::Metrics::new()),
            started_unix_ms,
            now_ms,
        );
        Self {
            state,
            datagrams: outgoing,
            store_jobs: queued_jobs,
            worker_jobs: queued_worker_jobs,
            operator_reads: queued_operator_reads,
            workers_reads: queued_workers_reads,
            view,
            chooser,
        }
    }

    /// Creates a daemon that has read a list of workers and knows another daemon.
    pub fn new(workers: &[&str]) -> Self {
        let times = control::LeaseTimes { ttl_ms: 12_000, renewal_ms: 6_000, guard_ms: 3_000 };
        let mut daemon =
            Self::start("own", ([127, 0, 0, 1], 7_380).into(), times, 1, clock::now_ms());
        let row = |worker: &&str| store::Row {
            key: (*worker).to_owned(),
            value: Some(Vec::new()),
            version: 1,
        };
        let rows = workers.iter().map(row).collect();
        let listing = store::Listing { rows, version: 1, store_ms: NOW_MS };
        let event = control::FeedEvent::Listed(listing);
        let read = control::Message::TableRead(store::Table::Workers, event, NOW_MS);
        daemon.state.receive(vec![read], NOW_MS);
        daemon.receive_state(fleet::DaemonState::default(), 1);
        daemon.take_datagrams();
        daemon
    }

    /// Receives a state of the other daemon.
    pub fn receive_state(&mut self, state: fleet::DaemonState, sequence: u64) {
        self.receive_state_of(1, state, sequence);
    }

    /// Receives a state of one of several other daemons.
    pub fn receive_state_of(&mut self, index: u8, state: fleet::DaemonState, sequence: u64) {
        let state = fleet::DaemonState {
            address: format!("127.0.1.{index}:7380"),
            region: "r".to_owned(),
            failure_domain: "a".to_owned(),
            ..state
        };
        let datagram = fleet::Datagram {
            host: format!("other-{index}"),
            started_unix_ms: 1,
            sequence,
            state: Some(state),
            ..fleet::Datagram::default()
        };
        self.state.receive(vec![control::Message::Datagram(Box::new(datagram))], NOW_MS);
    }

    /// Receives a message of another thread.
    pub fn receive(&mut self, message: control::Message) {
        self.state.receive(vec![message], NOW_MS);
    }

    /// Takes the store jobs that were queued since the last call.
    pub fn take_store_jobs(&mut self) -> Vec<control::StoreJob> {
        self.store_jobs.try_iter().collect()
    }

    /// Takes the calls to workers that were queued since the last call.
    pub fn take_worker_jobs(&mut self) -> Vec<control::WorkerJob> {
        std::iter::from_fn(|| self.worker_jobs.try_recv().ok()).collect()
    }

    /// Takes the tables that are to be read, as requested since the last call.
    pub fn take_table_reads(&mut self) -> Vec<store::Table> {
        let operator = self.operator_reads.try_iter().map(|()| store::Table::Operator);
        let workers = self.workers_reads.try_iter().map(|()| store::Table::Workers);
        operator.chain(workers).collect()
    }

    /// Takes the datagrams that were sent since the last call.
    pub fn take_datagrams(&mut self) -> Vec<control::OutgoingDatagram> {
        let mut outgoing = Vec::new();
        while let Ok(datagram) = self.datagrams.try_recv() {
            outgoing.push(datagram);
        }
        outgoing
    }
}
