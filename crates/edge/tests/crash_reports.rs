//! Tests of what the control thread tells other daemons of crashed workers.

use std::sync::Arc;

use arc_swap::ArcSwap;
use bytes::Bytes;
use hyper::http::{request, response};
use hyper::{HeaderMap, StatusCode};
use jasminetack_domain::{dispatch, locality, name, placement, quarantine, upstream};
use jasminetack_edge::{control, dialect, metrics, store, view};
use jasminetack_wire::fleet;
use tokio::sync::{mpsc, watch};

const DEADLY: u64 = 0xdead;
const SOUND: u64 = 1;
const NOW_MS: u64 = 10_000;

/// Codec of entries that state nothing but the name of a worker.
struct NameDialect;

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
        _key: &str,
        _value: &[u8],
    ) -> Result<dialect::OperatorEntry, dialect::DecodeError> {
        Ok(dialect::OperatorEntry::Other)
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

fn locality() -> locality::Locality {
    locality::Locality::new(name::RegionName::from("r"), name::FailureDomainName::from("a"))
}

/// Control state of a daemon with its queues of outgoing datagrams; the other queues are kept open.
struct Daemon {
    state: control::ControlState<NameDialect>,
    datagrams: mpsc::UnboundedReceiver<control::OutgoingDatagram>,
    view: Arc<ArcSwap<view::View>>,
}

impl Daemon {
    /// Creates a daemon that has read a list of workers and knows another daemon.
    fn new(workers: &[&str]) -> Self {
        let view = Arc::new(ArcSwap::from_pointee(view::View::default()));
        let (worker_jobs, _) = mpsc::unbounded_channel();
        let (datagrams, outgoing) = mpsc::unbounded_channel();
        let state = control::ControlState::new(
            Arc::new(NameDialect),
            control::Identity {
                host: name::HostName::from("own"),
                address: ([127, 0, 0, 1], 7_380).into(),
                locality: locality(),
            },
            control::LeaseTimes { ttl_ms: 12_000, renewal_ms: 6_000, guard_ms: 3_000 },
            control::Publisher::new(Arc::clone(&view), watch::channel(0).0),
            control::Outputs {
                store_jobs: crossbeam_channel::unbounded().0,
                operator_reads: crossbeam_channel::unbounded().0,
                workers_reads: crossbeam_channel::unbounded().0,
                worker_jobs,
                datagrams,
            },
            Arc::default(),
            Arc::new(metrics::Metrics::new()),
            1,
        );
        let mut daemon = Self { state, datagrams: outgoing, view };
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
        daemon.take_crash_reports();
        daemon
    }

    /// Receives a state of the other daemon.
    fn receive_state(&mut self, state: fleet::DaemonState, sequence: u64) {
        let state = fleet::DaemonState {
            address: "127.0.0.2:7380".to_owned(),
            region: "r".to_owned(),
            failure_domain: "a".to_owned(),
            ..state
        };
        let datagram = fleet::Datagram {
            host: "other".to_owned(),
            started_unix_ms: 1,
            sequence,
            state: Some(state),
            ..fleet::Datagram::default()
        };
        self.state.receive(vec![control::Message::Datagram(Box::new(datagram))], NOW_MS);
    }

    /// Takes the crashes that other daemons were told of.
    fn take_crash_reports(&mut self) -> Vec<fleet::WorkerCrash> {
        let mut reports = Vec::new();
        while let Ok(outgoing) = self.datagrams.try_recv() {
            reports.extend(outgoing.datagram.crashes);
        }
        reports
    }

    fn notice_crash(&mut self, worker: &str) {
        let mut crash = quarantine::WorkerCrash::new(name::WorkerName::from(worker), 1);
        let ids = [SOUND, DEADLY, u64::MAX];
        crash.add_request(&ids.map(|id| dispatch::PromptSegment { id: id.into(), tokens: 1 }));
        self.state.receive(vec![control::Message::WorkerCrashed(crash)], NOW_MS);
    }
}

#[test]
fn other_daemons_are_told_of_a_crash_whose_cause_is_known_here() {
    let mut daemon = Daemon::new(&["w1"]);
    let quarantined = fleet::QuarantinedSegment {
        segment: DEADLY,
        first_crash_age_ms: 3_000,
        remaining_ms: 100_000,
        duration_ms: 120_000,
    };
    let quarantined = vec![quarantined];
    daemon.receive_state(fleet::DaemonState { quarantined, ..fleet::DaemonState::default() }, 2);
    assert!(daemon.view.load().quarantined.contains_key(&dispatch::SegmentId::from(DEADLY)));
    daemon.notice_crash("w1");
    let reports = daemon.take_crash_reports();
    assert_eq!(reports.len(), 1);
    let segments: Vec<_> = reports[0].suspects.iter().map(|suspect| suspect.segment).collect();
    assert_eq!(segments, [SOUND, DEADLY]);
}

#[test]
fn the_end_of_a_worker_that_leaves_is_no_crash() {
    let mut daemon = Daemon::new(&["draining-1", "w1"]);
    daemon.notice_crash("draining-1");
    daemon.notice_crash("not-listed");
    assert!(daemon.take_crash_reports().is_empty());
}
