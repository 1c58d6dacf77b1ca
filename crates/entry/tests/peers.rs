//! Tests of forwarding between daemons over TCP connections.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use futures_util::{SinkExt, StreamExt};
use jasminetack_domain::adapter;
use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_entry::control;
use jasminetack_entry::traffic;
use jasminetack_wire::peer;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time;

use support::{ReceivedOrder, RefusingPort, ScriptedOwner, TEST_TIMEOUT, limiter};

mod support;

const SECRET: &str = "peer secret of the test";

async fn start_server() -> (
    SocketAddr,
    mpsc::UnboundedReceiver<ReceivedOrder>,
    crossbeam_channel::Receiver<control::Message>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (owner, orders) = ScriptedOwner::new();
    let (control, messages) = crossbeam_channel::unbounded();
    let server =
        traffic::PeerServer::new(SECRET.to_owned(), control, owner, limiter(), Default::default());
    tokio::spawn(server.serve(listener));
    (address, orders, messages)
}

fn hello(secret: &str) -> peer::Hello {
    peer::Hello { host: "e1".to_owned(), incarnation: 1, secret: secret.to_owned() }
}

fn order(request_id: &str) -> traffic::ModelRequest {
    traffic::ModelRequest {
        request_id: name::RequestId::from(request_id),
        worker: name::WorkerName::from("w1"),
        adapter: adapter::AdapterRef::new(name::AdapterName::from("offer"), 1),
        team: name::TeamName::from("desk"),
        weight: 1,
        share: 1,
        class: request::Class::Normal,
        remaining_ms: 1_000,
        path: "/v1/completions".to_owned(),
        body: "{}".into(),
    }
}

fn head() -> traffic::ResponseEvent {
    traffic::ResponseEvent::Head { status: 200, content_type: "text/plain".into(), outstanding: 1 }
}

async fn next_event(events: &mut mpsc::Receiver<traffic::ResponseEvent>) -> traffic::ResponseEvent {
    loop {
        let event = time::timeout(TEST_TIMEOUT, events.recv()).await.unwrap().unwrap();
        if !matches!(event, traffic::ResponseEvent::Progress { .. }) {
            return event;
        }
    }
}

async fn expect_refusal(events: &mut mpsc::Receiver<traffic::ResponseEvent>) -> traffic::Refusal {
    match next_event(events).await {
        traffic::ResponseEvent::Refused(refusal) => refusal,
        event => panic!("not a refusal: {event:?}"),
    }
}

/// Guards against lost or altered answers, both on a new and on a reused connection.
#[tokio::test]
async fn answers_are_relayed_and_the_connection_is_reused() {
    let (address, mut orders, _messages) = start_server().await;
    let client = traffic::PeerClient::new(hello(SECRET));
    for request_id in ["r1", "r2"] {
        let mut events = client.forward(address, order(request_id));
        let (received, answer) = time::timeout(TEST_TIMEOUT, orders.recv()).await.unwrap().unwrap();
        assert_eq!(received, order(request_id));
        let chunk = traffic::ResponseEvent::Chunk(request_id.to_owned().into());
        for event in [head(), chunk, traffic::ResponseEvent::End] {
            answer.send(event.clone()).await.unwrap();
            assert_eq!(next_event(&mut events).await, event);
        }
    }
}

/// Guards against running a queued request whose caller has disconnected.
#[tokio::test]
async fn dropped_receiver_cancels_the_request_at_the_owner() {
    let (address, mut orders, _messages) = start_server().await;
    let client = traffic::PeerClient::new(hello(SECRET));
    let events = client.forward(address, order("r1"));
    let (_, answer) = time::timeout(TEST_TIMEOUT, orders.recv()).await.unwrap().unwrap();
    drop(events);
    time::timeout(TEST_TIMEOUT, answer.closed()).await.expect("the owner sees the cancellation");
}

/// Guards against reporting the owner as lost while its engine takes long to answer.
#[tokio::test]
async fn owner_sends_progress_while_the_engine_is_silent() {
    let (address, mut orders, _messages) = start_server().await;
    let client = traffic::PeerClient::new(hello(SECRET));
    let mut events = client.forward(address, order("r1"));
    let (_, answer) = time::timeout(TEST_TIMEOUT, orders.recv()).await.unwrap().unwrap();
    for _ in 0..5 {
        let event = time::timeout(TEST_TIMEOUT, events.recv()).await.unwrap().unwrap();
        assert!(matches!(event, traffic::ResponseEvent::Progress { .. }), "{event:?}");
    }
    answer.send(head()).await.unwrap();
    assert_eq!(next_event(&mut events).await, head());
}

/// Guards against a `not-run` refusal that arrives as `unknown`, or the reverse.
#[tokio::test]
async fn refusals_keep_their_outcome() {
    let (address, mut orders, _messages) = start_server().await;
    let client = traffic::PeerClient::new(hello(SECRET));
    for expected in [
        traffic::Refusal::not_run(503, "not_owner", "not the owner"),
        traffic::Refusal::unknown(502, "engine_failed", "the engine failed"),
    ] {
        let mut events = client.forward(address, order("r1"));
        let (_, answer) = time::timeout(TEST_TIMEOUT, orders.recv()).await.unwrap().unwrap();
        answer.send(traffic::ResponseEvent::Refused(expected.clone())).await.unwrap();
        assert_eq!(expect_refusal(&mut events).await, expected);
    }
}

/// Guards against reporting `unknown` for a request that was never sent.
#[tokio::test]
async fn unreachable_owner_is_not_run() {
    let refusing_port = RefusingPort::bind();
    let client = traffic::PeerClient::new(hello(SECRET));
    let refusal = expect_refusal(&mut client.forward(refusing_port.address(), order("r1"))).await;
    assert_eq!(refusal.outcome, request::Outcome::NotRun);
}

/// Guards against reporting `not-run` when the owner may have started the request, and against
/// waiting forever.
#[tokio::test]
async fn lost_or_faulty_owner_is_unknown() {
    for reply in ["", "silent", "\0\0\0\x05hello", "\u{7f}\u{7f}\u{7f}\u{7f}"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let client = traffic::PeerClient::new(hello(SECRET));
        let mut events = client.forward(address, order("r1"));
        let (stream, _) = listener.accept().await.unwrap();
        let mut connection: traffic::PeerStream =
            tokio_util::codec::Framed::new(stream, Default::default());
        let frames = [connection.next().await, connection.next().await];
        assert!(frames.iter().all(|frame| matches!(frame, Some(Ok(_)))), "{frames:?}");
        match reply {
            "" => drop(connection),
            "silent" => {}
            bytes => connection.get_mut().write_all(bytes.as_bytes()).await.unwrap(),
        }
        assert_eq!(
            expect_refusal(&mut events).await.outcome,
            request::Outcome::Unknown,
            "{reply:?}"
        );
    }
}

/// Guards against accepting control messages and requests from senders without the peer secret.
#[tokio::test]
async fn control_messages_need_the_secret() {
    let (address, mut orders, messages) = start_server().await;
    let heartbeat = peer::Heartbeat { host: "e1".to_owned(), ..Default::default() };
    let frame = peer::Frame { body: Some(peer::Body::Heartbeat(heartbeat.clone())) };
    let mut unauthenticated = traffic::connect(address, hello("guess")).await.unwrap();
    // The server may have closed the connection already.
    let _ = unauthenticated.send(frame.clone()).await;
    let events = &mut traffic::PeerClient::new(hello("guess")).forward(address, order("r1"));
    assert!(matches!(expect_refusal(events).await.code.as_str(), "bad_secret" | "owner_lost"));
    let mut daemon = traffic::connect(address, hello(SECRET)).await.unwrap();
    daemon.send(frame).await.unwrap();
    let message = tokio::task::spawn_blocking(move || messages.recv_timeout(TEST_TIMEOUT));
    let control::Message::Peer { from, body } = message.await.unwrap().unwrap() else {
        panic!("not a peer message");
    };
    assert_eq!(from.as_str(), "e1");
    assert_eq!(body, peer::Body::Heartbeat(heartbeat));
    assert!(orders.try_recv().is_err(), "no request was started");
}

/// Guards against a server that stops when a first frame is truncated, oversized or invalid.
#[tokio::test]
async fn invalid_first_frames_close_only_their_connection() {
    let (address, mut orders, _messages) = start_server().await;
    for bytes in
        [&b"\0\0\0"[..], b"\xff\xff\xff\xff", b"\0\0\0\x02\x12\xff", b"GET / HTTP/1.1\r\n\r\n"]
    {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        let _ = stream.shutdown().await;
    }
    let client = traffic::PeerClient::new(hello(SECRET));
    let _events = client.forward(address, order("r1"));
    assert!(time::timeout(TEST_TIMEOUT, orders.recv()).await.unwrap().is_some());
}
