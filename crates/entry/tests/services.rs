//! Tests of calls to app services.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use jasminetack_domain::name;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time;

use support::store::{Fault, MemoryStore};
use support::{Connection, Daemon, RefusingPort, TEST_TIMEOUT, expect_failure};

mod support;

const RESPONSE: &str =
    "HTTP/1.1 201 Created\r\ncontent-type: text/plain\r\ncontent-length: 4\r\n\r\nyes!";

/// An app service whose responses the test writes.
struct App {
    address: SocketAddr,
    calls: mpsc::UnboundedReceiver<(String, TcpStream)>,
}

impl App {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, calls) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let sender = sender.clone();
                tokio::spawn(async move {
                    let mut text = String::new();
                    while !text.contains("\r\n\r\n") || !text.ends_with(['\n', '}']) {
                        let mut buffer = [0; 4_096];
                        let count = stream.read(&mut buffer).await.unwrap_or(0);
                        if count == 0 {
                            return;
                        }
                        text.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
                    }
                    let _ = sender.send((text, stream));
                });
            }
        });
        Self { address, calls }
    }

    /// Returns the next call and the connection for its response.
    async fn call(&mut self) -> (String, TcpStream) {
        time::timeout(TEST_TIMEOUT, self.calls.recv()).await.unwrap().unwrap()
    }

    /// Responds to the next call and returns the call.
    async fn respond(&mut self) -> String {
        let (text, mut stream) = self.call().await;
        stream.write_all(RESPONSE.as_bytes()).await.unwrap();
        text
    }
}

async fn start(hosts: &[SocketAddr], flags: &str, store: &MemoryStore) -> Daemon {
    let daemon = Daemon::start_with(flags, store).await;
    daemon.change(|snapshot| {
        snapshot.services.insert(name::ServiceName::from("slots"), hosts.to_vec());
    });
    daemon
}

async fn confirm(daemon: &Daemon, key: &str, body: &str) -> Connection {
    let head = format!(
        "POST /services/slots/confirm?day=1 HTTP/1.1\r\nauthorization: Bearer desk{key}\r\n\
         jasminetack-timeout-ms: 5000"
    );
    daemon.send(&head, body).await
}

async fn look_up(daemon: &Daemon, path: &str) -> Connection {
    let head = format!("GET /services/slots{path} HTTP/1.1\r\nauthorization: Bearer desk");
    daemon.send(&head, "").await
}

const KEY: &str = "\r\nidempotency-key: k1";

/// Guards against a changed path or body, and against forwarding a caller's key to a service.
#[tokio::test]
async fn call_reaches_the_service_unchanged() {
    let mut app = App::start().await;
    let store = MemoryStore::default();
    let daemon = start(&[app.address], "--upstream-key up", &store).await;
    let mut caller = confirm(&daemon, KEY, r#"{"slot":7}"#).await;
    let text = app.respond().await;
    assert!(text.starts_with("POST /confirm?day=1 HTTP/1.1\r\n"), "{text}");
    assert!(text.ends_with("\r\n\r\n{\"slot\":7}"), "{text}");
    assert!(text.contains("authorization: Bearer up\r\n") && !text.contains("desk"), "{text}");
    assert!(text.contains("idempotency-key: k1\r\n"), "{text}");
    let text = caller.read_until("yes!").await;
    assert!(text.starts_with("HTTP/1.1 201 Created\r\n"), "{text}");
    let id = text.split("jasminetack-request-id: ").nth(1).unwrap().split('\r').next().unwrap();
    assert!(id.starts_with("e1-"), "{text}");
}

/// Guards against non-repeatable calls without an idempotency key, and against path segments that
/// disguise them as repeatable.
#[tokio::test]
async fn bad_calls_are_refused_as_not_run() {
    let mut app = App::start().await;
    let daemon = start(&[app.address], "", &MemoryStore::default()).await;
    let mut caller = confirm(&daemon, "", "{}").await;
    expect_failure(&mut caller, 400, "idempotency_key", "not-run").await;
    let mut caller = look_up(&daemon, "/calendar/../confirm").await;
    expect_failure(&mut caller, 400, "bad_path", "not-run").await;
    let mut caller = look_up(&daemon, "/calendar/%2E%2e/confirm").await;
    expect_failure(&mut caller, 400, "bad_path", "not-run").await;
    let head = "GET /services/nothing/x HTTP/1.1\r\nauthorization: Bearer desk";
    let mut caller = daemon.send(head, "").await;
    expect_failure(&mut caller, 404, "unknown_service", "not-run").await;
    assert!(app.calls.try_recv().is_err());
}

/// Guards against a second execution of a call with the same key, through the same daemon or
/// another.
#[tokio::test]
async fn second_call_with_the_key_replays_the_response() {
    let mut app = App::start().await;
    let store = MemoryStore::default();
    let first_daemon = start(&[app.address], "", &store).await;
    let second_daemon = start(&[app.address], "", &store).await;
    let mut first = confirm(&first_daemon, KEY, "{}").await;
    let (_, mut stream) = app.call().await;
    let mut second = confirm(&second_daemon, KEY, "{}").await;
    expect_failure(&mut second, 409, "call_open", "unknown").await;
    stream.write_all(RESPONSE.as_bytes()).await.unwrap();
    first.read_until("yes!").await;
    let key = "claim/desk/slots/k1";
    store.wait_for(key, |value| value.is_some_and(|value| value.get("answer").is_some())).await;
    for daemon in [&first_daemon, &second_daemon] {
        let mut again = confirm(daemon, KEY, "{}").await;
        let text = again.read_until("yes!").await;
        assert!(text.starts_with("HTTP/1.1 201 Created\r\ncontent-type: text/plain"), "{text}");
        let mut other = confirm(daemon, KEY, r#"{"slot":8}"#).await;
        expect_failure(&mut other, 422, "key_reused", "not-run").await;
    }
    assert!(app.calls.try_recv().is_err(), "the call was executed once");
}

/// Guards against a retry, or the outcome `not-run`, when the service may have executed the call.
#[tokio::test]
async fn lost_response_is_unknown_and_blocks_the_key() {
    let mut app = App::start().await;
    let store = MemoryStore::default();
    let refusing_port = RefusingPort::bind();
    let daemon = start(&[app.address, refusing_port.address()], "", &store).await;
    let mut caller = confirm(&daemon, KEY, "{}").await;
    drop(app.call().await);
    expect_failure(&mut caller, 502, "service_failed", "unknown").await;
    let mut again = confirm(&daemon, KEY, "{}").await;
    expect_failure(&mut again, 409, "call_open", "unknown").await;
    assert!(app.calls.try_recv().is_err());
}

/// Guards against failing the call although another host is left, and against a key that stays
/// claimed, when no byte was sent.
#[tokio::test]
async fn unsent_call_goes_to_another_host_or_frees_the_key() {
    let mut app = App::start().await;
    let store = MemoryStore::default();
    let refusing_ports = [RefusingPort::bind(), RefusingPort::bind()];
    let (dead, other) = (refusing_ports[0].address(), refusing_ports[1].address());
    let daemon = start(&[dead, other], "", &store).await;
    let mut caller = confirm(&daemon, KEY, "{}").await;
    expect_failure(&mut caller, 502, "service_failed", "not-run").await;
    store.wait_for("claim/desk/slots/k1", |value| value.is_none()).await;
    daemon.change(|snapshot| {
        snapshot.services.insert(name::ServiceName::from("slots"), vec![dead, app.address]);
    });
    let mut caller = confirm(&daemon, KEY, "{}").await;
    app.respond().await;
    caller.read_until("yes!").await;
}

/// Guards against sending a call without a claim while the platform is unreachable.
#[tokio::test]
async fn call_without_a_claim_is_not_sent() {
    let mut app = App::start().await;
    let store = MemoryStore::with_faults(&[Fault::Unreachable]);
    let daemon = start(&[app.address], "", &store).await;
    let mut caller = confirm(&daemon, KEY, "{}").await;
    expect_failure(&mut caller, 503, "not_claimed", "not-run").await;
    assert!(app.calls.try_recv().is_err());
}

/// Guards against a response that is not recorded because the caller disconnected, and against a
/// daemon that stops before it is recorded.
#[tokio::test]
async fn response_is_recorded_after_the_caller_disconnects() {
    let mut app = App::start().await;
    let store = MemoryStore::default();
    let daemon = start(&[app.address], "", &store).await;
    let caller = confirm(&daemon, KEY, "{}").await;
    let (_, mut stream) = app.call().await;
    drop(caller);
    let in_flight = &daemon.models.in_flight;
    assert!(in_flight.count() > 0, "a stopping daemon waits for the record");
    stream.write_all(RESPONSE.as_bytes()).await.unwrap();
    time::timeout(TEST_TIMEOUT, in_flight.wait_until_idle()).await.unwrap();
    let row = store.value("claim/desk/slots/k1").unwrap();
    assert!(row.get("answer").is_some(), "{row}");
}

/// Guards against recording a truncated response, and against ending it cleanly for the caller.
#[tokio::test]
async fn truncated_response_is_aborted_and_not_recorded() {
    let mut app = App::start().await;
    let store = MemoryStore::default();
    let daemon = start(&[app.address], "", &store).await;
    let mut caller = confirm(&daemon, KEY, "{}").await;
    let (_, mut stream) = app.call().await;
    stream.write_all(&RESPONSE.as_bytes()[..RESPONSE.len() - 1]).await.unwrap();
    caller.read_until("yes").await;
    drop(stream);
    let text = caller.read_to_end().await;
    assert!(!text.contains("\r\n0\r\n"), "{text}");
    let mut again = confirm(&daemon, KEY, "{}").await;
    expect_failure(&mut again, 409, "call_open", "unknown").await;
}

/// Guards against claim rows of unlimited size, and against a second execution when the response
/// was too large to record.
#[tokio::test]
async fn large_response_is_returned_once() {
    let mut app = App::start().await;
    let store = MemoryStore::default();
    let daemon = start(&[app.address], "", &store).await;
    let mut caller = confirm(&daemon, KEY, "{}").await;
    let (_, mut stream) = app.call().await;
    let long = format!("HTTP/1.1 200 OK\r\ncontent-length: 70000\r\n\r\n{}.", "x".repeat(69_999));
    stream.write_all(long.as_bytes()).await.unwrap();
    caller.read_until("x.").await;
    let key = "claim/desk/slots/k1";
    store.wait_for(key, |value| value.is_some_and(|value| value.get("answer").is_some())).await;
    let mut again = confirm(&daemon, KEY, "{}").await;
    expect_failure(&mut again, 409, "answer_not_recorded", "unknown").await;
    assert!(app.calls.try_recv().is_err());
}

/// Guards against repeatable calls that fail with their host, against retries beyond the budget,
/// and against responses that are buffered to their end.
#[tokio::test]
async fn repeatable_call_is_retried_and_streamed() {
    let mut app = App::start().await;
    let store = MemoryStore::default();
    let refusing_port = RefusingPort::bind();
    let hosts = [refusing_port.address(), app.address];
    let daemon = start(&hosts, "--retry-percent 0", &store).await;
    let mut caller = look_up(&daemon, "/calendar/may").await;
    let (text, mut stream) = app.call().await;
    assert!(text.starts_with("GET /calendar/may HTTP/1.1\r\n"), "{text}");
    stream.write_all(&RESPONSE.as_bytes()[..RESPONSE.len() - 2]).await.unwrap();
    caller.read_until("ye").await;
    stream.write_all(b"s!").await.unwrap();
    caller.read_until("\r\n0\r\n\r\n").await;
    assert_eq!(store.0.lock().unwrap().transactions, 0, "repeatable calls need no claim");
    drop(stream);
    let mut caller = look_up(&daemon, "/calendar/may").await;
    drop(app.call().await);
    expect_failure(&mut caller, 502, "service_failed", "unknown").await;
    let daemon = start(&[app.address, app.address], "--retry-percent 10", &store).await;
    let mut second = App::start().await;
    daemon.change(|snapshot| {
        let hosts = vec![app.address, second.address];
        snapshot.services.insert(name::ServiceName::from("slots"), hosts);
    });
    let mut caller = look_up(&daemon, "/calendar/may").await;
    tokio::select! {
        call = app.call() => { drop(call); second.respond().await }
        call = second.call() => { drop(call); app.respond().await }
    };
    caller.read_until("yes!").await;
}

/// Guards against sending a call to a busy host while another one is idle.
#[tokio::test]
async fn host_with_the_fewest_calls_is_chosen() {
    let mut apps = [App::start().await, App::start().await];
    let hosts = [apps[0].address, apps[1].address];
    let daemon = start(&hosts, "", &MemoryStore::default()).await;
    let mut callers = Vec::new();
    let mut calls = Vec::new();
    for _ in 0..2 {
        for _ in 0..2 {
            callers.push(look_up(&daemon, "/calendar/may").await);
        }
        for app in &mut apps {
            calls.push(app.call().await);
        }
    }
    assert_eq!(calls.len(), 4);
}
