//! Tests of the HTTP server for callers over real connections.

#![allow(clippy::unwrap_used)]

use jasminetack_domain::adapter;
use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_domain::table;
use jasminetack_entry::snapshot;
use jasminetack_entry::traffic;
use tokio::time;

use support::{Daemon, TEST_TIMEOUT, chunk, expect_failure, head};

mod support;

const BODY: &str = r#"{"model":"desk-offer","stream":true}"#;
const SSE: &str = "text/event-stream";

/// Guards against tokens that are held back in a buffer, and against a wrong adapter version in the
/// response header.
#[tokio::test]
async fn each_token_is_written_immediately() {
    let mut daemon = Daemon::start("").await;
    let mut caller = daemon.complete("", BODY).await;
    let (order, events) = daemon.order().await;
    assert_eq!(order.adapter, adapter::AdapterRef::new(name::AdapterName::from("desk-offer"), 2));
    events.send(head(SSE)).await.unwrap();
    for token in ["data: t0\n\n", "data: t1\n\n", "data: [DONE]\n\n"] {
        events.send(chunk(token)).await.unwrap();
        // The owner sends nothing more until the token has arrived at the caller.
        caller.read_until(token).await;
    }
    events.send(traffic::ResponseEvent::End).await.unwrap();
    let text = caller.read_until("\r\n0\r\n\r\n").await;
    assert!(text.starts_with("HTTP/1.1 200 OK\r\n"), "{text}");
    // The connection stays open, but the request no longer counts as in flight.
    time::timeout(TEST_TIMEOUT, daemon.models.in_flight.wait_until_idle()).await.unwrap();
    assert!(text.contains("jasminetack-adapter: desk-offer@2\r\n"), "{text}");
    assert!(text.contains(&format!("jasminetack-request-id: {}\r\n", order.request_id)), "{text}");
}

/// Guards against invalid requests that reach a worker, and against error responses without a code
/// or an outcome.
#[tokio::test]
async fn bad_requests_are_refused_as_not_run() {
    let mut daemon = Daemon::start("--max-body-bytes 1000 --max-header-bytes 8192").await;
    let cases = [
        ("", "{", 400, "bad_json"),
        ("", r#"{"model":"nobody"}"#, 404, "unknown_adapter"),
        ("", r#"{"model":"desk-offer@9"}"#, 404, "unknown_adapter"),
        ("", r#"{"model":"other-offer"}"#, 403, "not_your_adapter"),
        ("\r\njasminetack-priority: first", BODY, 400, "bad_priority"),
        ("\r\njasminetack-timeout-ms: soon", BODY, 400, "bad_timeout"),
    ];
    for (headers, body, status, code) in cases {
        let mut caller = daemon.complete(headers, body).await;
        expect_failure(&mut caller, status, code, "not-run").await;
    }
    let mut caller = daemon.complete("", &"x".repeat(1_001)).await;
    expect_failure(&mut caller, 413, "body_too_large", "not-run").await;
    let mut caller = daemon.complete(&format!("\r\nx: {}", "x".repeat(9_000)), BODY).await;
    expect_failure(&mut caller, 431, "head_too_large", "not-run").await;
    let mut caller = daemon.send("POST /v1/completions HTTP/1.1\r\na b: c", BODY).await;
    expect_failure(&mut caller, 400, "bad_head", "not-run").await;
    let no_key = "POST /v1/completions HTTP/1.1\r\nauthorization: Bearer guess";
    let mut caller = daemon.send(no_key, BODY).await;
    expect_failure(&mut caller, 401, "bad_key", "not-run").await;
    daemon.change(|snapshot| snapshot.readiness = snapshot::Readiness::Starting);
    let mut caller = daemon.complete("", BODY).await;
    expect_failure(&mut caller, 503, "not_ready", "not-run").await;
    assert!(daemon.orders.try_recv().is_err(), "no order reached the owner");
}

/// Guards against callers that occupy connections by sending slowly.
#[tokio::test]
async fn slow_senders_get_a_response_and_are_closed() {
    let daemon = Daemon::start("--header-timeout-ms 200 --body-timeout-ms 200").await;
    let mut slow_head = daemon.send_text("POST /v1/completions HTTP/1.1\r\n").await;
    expect_failure(&mut slow_head, 408, "slow_head", "not-run").await;
    slow_head.read_to_end().await;
    let head = "POST /v1/completions HTTP/1.1\r\nauthorization: Bearer desk\r\n\
                content-length: 10\r\n\r\n{";
    let mut slow_body = daemon.send_text(head).await;
    expect_failure(&mut slow_body, 408, "slow_body", "not-run").await;
    slow_body.read_to_end().await;
}

/// Guards against connections above the limit that get no response.
#[tokio::test]
async fn connections_above_the_limit_are_refused() {
    let mut daemon = Daemon::start("--max-connections 1").await;
    let mut first = daemon.complete("", BODY).await;
    let (_, events) = daemon.order().await;
    let mut second = daemon.complete("", BODY).await;
    expect_failure(&mut second, 503, "too_many_connections", "not-run").await;
    second.read_to_end().await;
    events.send(head(SSE)).await.unwrap();
    events.send(chunk("data: t0\n\n")).await.unwrap();
    first.read_until("t0").await;
}

/// Guards against a priority class above the limit of the row, and a deadline above that of the
/// settings.
#[tokio::test]
async fn priority_and_deadline_are_limited() {
    let mut daemon = Daemon::start("--max-timeout-ms 5000").await;
    let asked = "\r\njasminetack-priority: urgent\r\njasminetack-timeout-ms: 9000000";
    let _caller = daemon.complete(asked, BODY).await;
    let (order, _events) = daemon.order().await;
    assert_eq!(order.class, request::Class::Normal);
    assert!((4_000..=5_000).contains(&order.remaining_ms), "{}", order.remaining_ms);
    let _caller = daemon.complete("\r\njasminetack-priority: bulk", BODY).await;
    assert_eq!(daemon.order().await.0.class, request::Class::Bulk);
}

/// Guards against work for callers that disconnected while queued or streaming.
#[tokio::test]
async fn disconnect_cancels_at_the_owner() {
    let mut daemon = Daemon::start("").await;
    let caller = daemon.complete("", BODY).await;
    let (_, events) = daemon.order().await;
    events.send(traffic::ResponseEvent::Progress { outstanding: 3 }).await.unwrap();
    drop(caller);
    time::timeout(TEST_TIMEOUT, events.closed()).await.expect("the queued request is cancelled");
    let mut caller = daemon.complete("", BODY).await;
    let (_, events) = daemon.order().await;
    events.send(head(SSE)).await.unwrap();
    events.send(chunk("data: t0\n\n")).await.unwrap();
    caller.read_until("t0").await;
    drop(caller);
    time::timeout(TEST_TIMEOUT, events.closed()).await.expect("the running request is cancelled");
}

/// Guards against an incomplete response that looks complete to the caller.
#[tokio::test]
async fn incomplete_response_ends_with_an_error_event_and_an_abort() {
    let mut daemon = Daemon::start("").await;
    for is_refused in [true, false] {
        let mut caller = daemon.complete("", BODY).await;
        let (_, events) = daemon.order().await;
        events.send(head(SSE)).await.unwrap();
        events.send(chunk("data: t0\n\n")).await.unwrap();
        if is_refused {
            let refusal = traffic::Refusal::not_run(502, "engine_failed", "the engine failed");
            events.send(traffic::ResponseEvent::Refused(refusal)).await.unwrap();
        }
        drop(events);
        let text = caller.read_to_end().await;
        assert!(text.contains("event: error\ndata: {"), "{text}");
        assert!(text.contains(r#""outcome":"unknown""#), "{text}");
        assert!(!text.contains("[DONE]") && !text.contains("\r\n0\r\n"), "{text}");
    }
}

/// Guards against failing a request that another worker could serve.
#[tokio::test]
async fn refused_request_goes_to_another_worker() {
    let mut daemon = Daemon::start("--retry-percent 0").await;
    let mut caller = daemon.complete("", BODY).await;
    let (first, events) = daemon.order().await;
    let refusal = traffic::Refusal::not_run(503, "not_owner", "not the owner");
    events.send(traffic::ResponseEvent::Refused(refusal.clone())).await.unwrap();
    let (second, events) = daemon.order().await;
    assert_ne!(first.worker, second.worker);
    assert_eq!(first.request_id, second.request_id);
    // After all workers refused, they are tried again, because owners can change.
    events.send(traffic::ResponseEvent::Refused(refusal)).await.unwrap();
    let (_, events) = daemon.order().await;
    events.send(head(SSE)).await.unwrap();
    events.send(chunk("data: t0\n\n")).await.unwrap();
    caller.read_until("t0").await;
    let entries = daemon.decisions.entries(&first.request_id);
    let texts: Vec<_> = entries.iter().map(|entry| entry.text.as_str()).collect();
    assert!(texts.iter().filter(|text| text.starts_with("route ")).count() >= 3, "{texts:?}");
    assert!(texts.iter().any(|text| text.contains("code=not_owner")), "{texts:?}");
}

/// Guards against retries beyond the budget, and against `not-run` when an attempt may have run.
#[tokio::test]
async fn unknown_failures_are_retried_within_the_budget_only() {
    let mut daemon = Daemon::start("--retry-percent 0").await;
    let mut caller = daemon.complete("", BODY).await;
    drop(daemon.order().await);
    expect_failure(&mut caller, 502, "owner_lost", "unknown").await;
    let mut daemon = Daemon::start("--retry-percent 10").await;
    let mut caller = daemon.complete("", BODY).await;
    drop(daemon.order().await);
    let (_, events) = daemon.order().await;
    let refusal = traffic::Refusal::not_run(400, "bad_request", "not valid");
    events.send(traffic::ResponseEvent::Refused(refusal)).await.unwrap();
    expect_failure(&mut caller, 400, "bad_request", "unknown").await;
}

/// Guards against a request that outlives its deadline because its worker does not respond.
#[tokio::test]
async fn deadline_ends_the_request() {
    let mut daemon = Daemon::start("").await;
    let mut caller = daemon.complete("\r\njasminetack-timeout-ms: 200", BODY).await;
    let (_, events) = daemon.order().await;
    expect_failure(&mut caller, 504, "deadline_passed", "unknown").await;
    time::timeout(TEST_TIMEOUT, events.closed()).await.expect("the request is cancelled");
}

/// Guards against mixing the responses of two hedged attempts, and against a losing attempt that
/// keeps running.
#[tokio::test]
async fn hedged_request_returns_one_response_and_cancels_the_other() {
    let mut daemon = Daemon::start("--hedge-percent 5").await;
    for _ in 0..100 {
        daemon.models.attempt_budgets.lock().hedge_delay.record(request::Class::Normal, 20);
    }
    let mut caller = daemon.complete("", BODY).await;
    let (first_order, first) = daemon.order().await;
    let (second_order, second) = daemon.order().await;
    assert_ne!(first_order.worker, second_order.worker);
    first.send(head(SSE)).await.unwrap();
    second.send(head(SSE)).await.unwrap();
    second.send(chunk("data: second\n\n")).await.unwrap();
    caller.read_until("data: second").await;
    time::timeout(TEST_TIMEOUT, first.closed()).await.expect("the losing attempt is cancelled");
    second.send(traffic::ResponseEvent::End).await.unwrap();
    let text = caller.read_until("\r\n0\r\n\r\n").await;
    assert_eq!(text.matches("data: ").count(), 1, "{text}");
}

/// Guards against more concurrent requests than a row's ceiling, and against permits that are not
/// released.
#[tokio::test]
async fn ceiling_of_the_adapter_is_enforced() {
    let mut daemon = Daemon::start("").await;
    daemon.change(|snapshot| {
        let mut table = table::Table::clone(&snapshot.table);
        let kind = table::RowKind::Adapter;
        let key = table::RowKey::new(kind, "desk-offer");
        let mut row = table.row(&key).unwrap().1.as_ref().clone();
        if let table::Row::Adapter(row) = &mut row {
            row.limits.ceiling = Some(1);
        }
        table.apply(key, 100, Some(row));
        snapshot.table = std::sync::Arc::new(table);
    });
    let first = daemon.complete("", BODY).await;
    let (_, events) = daemon.order().await;
    let mut second = daemon.complete("", BODY).await;
    expect_failure(&mut second, 429, "ceiling_reached", "not-run").await;
    drop(first);
    time::timeout(TEST_TIMEOUT, events.closed()).await.unwrap();
    let _third = daemon.complete("", BODY).await;
    time::timeout(TEST_TIMEOUT, daemon.orders.recv()).await.unwrap().unwrap();
}
