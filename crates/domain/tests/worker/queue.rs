//! Tests of queueing, fairness and refusals.

use crate::common::{LIMITS, TestWorker, empty_worker, id, job, load_all, start_ready_ids};
use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_domain::worker;

fn long(request: &str, now_ms: u64) -> worker::Job {
    worker::Job { cost_tokens: 8_000, ..job(request, "a", now_ms) }
}

fn of_team(request: &str, team: &str) -> worker::Job {
    worker::Job { team: name::TeamName::from(team), ..job(request, "a", 0) }
}

/// A worker on which the adapter `a` is loaded and every batch place is taken.
fn busy_worker() -> TestWorker {
    let mut worker = empty_worker(LIMITS);
    for index in 0..LIMITS.batch_places {
        worker.submit(job(&format!("busy-{index}"), "a", 0), 0).expect("the queue has room");
    }
    load_all(&mut worker, 0);
    assert_eq!(start_ready_ids(&mut worker, 0).len(), LIMITS.batch_places);
    worker
}

/// Guards against long work that fills the batch and blocks short work.
#[test]
fn long_work_holds_at_most_half_of_the_batch() {
    let mut worker = empty_worker(LIMITS);
    for index in 0..4 {
        worker.submit(long(&format!("long-{index}"), 0), 0).unwrap();
    }
    worker.submit(job("short", "a", 0), 0).unwrap();
    load_all(&mut worker, 0);
    let mut starts = start_ready_ids(&mut worker, 0);
    starts.sort();
    assert_eq!(starts, ["long-0", "long-1", "short"]);
}

/// Guards against short work that starts after long work of the same team that came before it.
#[test]
fn shorter_work_of_a_team_starts_first() {
    let mut worker = busy_worker();
    worker.submit(long("long", 0), 0).unwrap();
    worker.submit(job("short", "a", 100), 100).unwrap();
    worker.finish(&id("busy-0"), None, 100);
    assert_eq!(start_ready_ids(&mut worker, 100), ["short"]);
}

/// Guards against long work that never starts while short work keeps coming.
#[test]
fn long_work_is_not_starved_by_short_work() {
    let mut worker = busy_worker();
    worker.submit(long("long", 0), 0).unwrap();
    let mut running = id("busy-0");
    for step in 1..100 {
        let now_ms = step * 100;
        worker.submit(job(&format!("short-{step}"), "a", now_ms), now_ms).unwrap();
        worker.finish(&running, None, now_ms);
        let starts = start_ready_ids(&mut worker, now_ms);
        if starts == ["long"] {
            return;
        }
        running = id(&starts[0]);
    }
    panic!("the long request did not start within 10 s");
}

/// Guards against bulk work that never starts while urgent work keeps coming.
#[test]
fn bulk_work_is_not_starved_by_urgent_work() {
    let mut worker = busy_worker();
    let bulk = worker::Job { class: request::Class::Bulk, ..job("bulk", "a", 0) };
    worker.submit(bulk, 0).unwrap();
    let mut running = id("busy-0");
    for step in 1..300 {
        let now_ms = step * 100;
        let class = request::Class::Urgent;
        let urgent = worker::Job { class, ..job(&format!("urgent-{step}"), "a", now_ms) };
        worker.submit(urgent, now_ms).unwrap();
        worker.finish(&running, None, now_ms);
        let starts = start_ready_ids(&mut worker, now_ms);
        if starts == ["bulk"] {
            assert!(now_ms >= 10_000, "bulk work overtook urgent work within 10 s");
            return;
        }
        running = id(&starts[0]);
    }
    panic!("the bulk request did not start within 30 s");
}

/// Guards against urgent work that waits behind work of lower classes.
#[test]
fn urgent_work_starts_first() {
    let mut worker = busy_worker();
    worker.submit(job("normal", "a", 0), 0).unwrap();
    let urgent = worker::Job { class: request::Class::Urgent, ..long("urgent", 50) };
    worker.submit(urgent, 50).unwrap();
    worker.finish(&id("busy-0"), None, 100);
    assert_eq!(start_ready_ids(&mut worker, 100), ["urgent"]);
}

/// Guards against a team with many requests taking more batch places than its weight allows.
#[test]
fn places_are_divided_by_weight() {
    let mut worker = empty_worker(worker::Limits { max_queue_length: 100, ..LIMITS });
    for index in 0..30 {
        let heavy = worker::Job { weight: 2, ..of_team(&format!("heavy-{index}"), "heavy") };
        worker.submit(heavy, 0).unwrap();
        worker.submit(of_team(&format!("light-{index}"), "light"), 0).unwrap();
    }
    load_all(&mut worker, 0);
    let mut heavy_count = 0;
    let mut total = 0;
    while total < 24 {
        for request in start_ready_ids(&mut worker, 10) {
            total += 1;
            heavy_count += usize::from(request.starts_with("heavy"));
            worker.finish(&id(&request), None, 10);
        }
    }
    assert!((15..=17).contains(&heavy_count), "heavy started {heavy_count} of {total}");
}

/// Guards against a team above its share filling the queue and locking out other teams.
#[test]
fn full_queue_refuses_teams_above_their_share_first() {
    let mut worker = busy_worker();
    for index in 0..LIMITS.max_queue_length {
        worker.submit(of_team(&format!("flood-{index}"), "flood"), 0).unwrap();
    }
    let displaced = worker.submit(of_team("other", "other"), 0).unwrap().unwrap();
    assert_eq!(displaced.job.team.as_str(), "flood");
    assert_eq!(displaced.refusal.reason, worker::RefusalReason::AboveShare);
    let refusal = worker.submit(of_team("flood-9", "flood"), 0).unwrap_err();
    assert_eq!(refusal.reason, worker::RefusalReason::AboveShare);
    assert_eq!(worker.queue_length(), LIMITS.max_queue_length);
}

/// Guards against queueing requests that cannot start before their deadline.
#[test]
fn request_that_would_miss_its_deadline_is_refused_at_once() {
    let mut worker = busy_worker();
    worker.finish(&id("busy-0"), Some(100), 10_000);
    worker.submit(job("next", "a", 10_000), 10_000).unwrap();
    assert_eq!(start_ready_ids(&mut worker, 10_000).len(), 1);
    worker.submit(job("queued", "a", 10_000), 10_000).unwrap();
    let hurried = worker::Job { deadline_ms: 11_000, ..job("hurried", "a", 10_000) };
    let refusal = worker.submit(hurried, 10_000).unwrap_err();
    assert_eq!(refusal.reason, worker::RefusalReason::WaitExceedsDeadline);
    assert!(refusal.retry_after_ms > 1_000);
}

/// Guards against a request that starts after its deadline.
#[test]
fn expired_request_does_not_start() {
    let mut worker = busy_worker();
    let hurried = worker::Job { deadline_ms: 1_000, ..job("hurried", "a", 0) };
    worker.submit(hurried, 0).unwrap();
    worker.finish(&id("busy-0"), None, 1_000);
    assert!(start_ready_ids(&mut worker, 1_000).is_empty());
    let refused = worker.expire(1_000);
    assert_eq!(refused[0].refusal.reason, worker::RefusalReason::DeadlinePassed);
}

/// Guards against accepting requests after the ownership ended, and against a handover that aborts
/// running requests.
#[test]
fn closed_worker_refuses_queued_work_and_finishes_the_rest() {
    let mut worker = busy_worker();
    worker.submit(job("queued", "a", 0), 0).unwrap();
    let refused = worker.close();
    assert_eq!(refused[0].job.request_id, id("queued"));
    assert_eq!(refused[0].refusal.reason, worker::RefusalReason::NotOwner);
    let refusal = worker.submit(job("late", "a", 0), 0).unwrap_err();
    assert_eq!(refusal.reason, worker::RefusalReason::NotOwner);
    for index in 0..LIMITS.batch_places {
        assert!(!worker.is_drained());
        worker.finish(&id(&format!("busy-{index}")), None, 10);
    }
    assert!(worker.is_drained());
}
