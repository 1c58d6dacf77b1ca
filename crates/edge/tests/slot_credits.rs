//! Tests of slot credits on the control thread: messages that are lost, late or duplicated.

mod support;

use std::time::Instant;

use jasminetack_domain::{name, slot_credit};
use jasminetack_edge::clock;
use jasminetack_edge::control::{self, Message, SlotAsk, SlotReply};
use jasminetack_wire::fleet;
use stakker::{Stakker, actor, call, ret_nop};
use support::{Daemon, NOW_MS};
use tokio::sync::oneshot;

fn pool(service: &str) -> slot_credit::PoolKey {
    let region = name::RegionName::from("r");
    slot_credit::PoolKey { service: name::ServiceName::from(service), region }
}

fn slot_ask(number: u64, service: &str, reply: oneshot::Sender<SlotReply>) -> SlotAsk {
    SlotAsk {
        number,
        pool: pool(service),
        team: None,
        urgency: 0,
        caller_hash: number,
        wait_until_ms: NOW_MS + 200,
        excluded: Vec::new(),
        reply,
    }
}

fn ask(daemon: &mut Daemon, number: u64, service: &str) -> oneshot::Receiver<SlotReply> {
    let (reply, answer) = oneshot::channel();
    daemon.receive(Message::SlotAsked(Box::new(slot_ask(number, service, reply))));
    answer
}

fn datagram(started_unix_ms: u64) -> fleet::Datagram {
    fleet::Datagram { host: "other-1".to_owned(), started_unix_ms, ..fleet::Datagram::default() }
}

fn receive(daemon: &mut Daemon, datagram: fleet::Datagram) {
    daemon.receive(Message::Datagram(Box::new(datagram)));
}

/// Receives the other daemon's answer that a worker may be called.
fn receive_grant(daemon: &mut Daemon, number: u64, started_unix_ms: u64) {
    let answer = fleet::SlotAnswer { number, worker: "w1".to_owned(), ..Default::default() };
    let datagram = fleet::Datagram { slot_answers: vec![answer], ..datagram(started_unix_ms) };
    receive(daemon, datagram);
}

fn request(number: u64) -> fleet::SlotRequest {
    fleet::SlotRequest {
        service: "llm".to_owned(),
        region: "r".to_owned(),
        number,
        max_wait_ms: 200,
        ..Default::default()
    }
}

/// Takes the only datagram about slots.
fn take_message(daemon: &mut Daemon) -> Option<fleet::Datagram> {
    let mut messages: Vec<_> =
        daemon.take_datagrams().into_iter().map(|sent| sent.datagram).collect();
    messages.retain(fleet::Datagram::concerns_slots);
    assert!(messages.len() <= 1, "{messages:?}");
    messages.pop()
}

/// Returns a service whose broker is the other daemon.
fn service_of_other(daemon: &mut Daemon) -> String {
    for index in 0..100 {
        let service = format!("s{index}");
        let _answer = ask(daemon, index, &service);
        if take_message(daemon).is_some() {
            return service;
        }
    }
    panic!("this daemon is the broker of every service");
}

/// Guards against a datagram, and a wait for it, where a daemon is its own broker.
#[test]
fn a_daemon_that_is_the_broker_sends_no_message() {
    let mut daemon = Daemon::new(&["w1"]);
    daemon.receive_state(fleet::DaemonState { is_leaving: true, ..Default::default() }, 2);
    daemon.take_datagrams();
    for number in 0..4 {
        let mut answer = ask(&mut daemon, number, "llm");
        assert!(matches!(answer.try_recv(), Ok(SlotReply::Granted(_))), "slot {number}");
    }
    let mut waiting = ask(&mut daemon, 4, "llm");
    let Ok(SlotReply::Queued(mut granted)) = waiting.try_recv() else { panic!("no free slot") };
    assert!(granted.try_recv().is_err());
    let end = slot_credit::CallEnd::Done { took_ms: 30 };
    daemon.receive(Message::SlotCallEnded { number: 0, end });
    assert!(matches!(granted.try_recv(), Ok(SlotReply::Granted(_))), "the slot is passed on");
    assert_eq!(take_message(&mut daemon), None);
}

/// Guards against waiting calls that notice only 100 ms later that a slot has become free by time.
#[test]
fn a_broker_with_waiting_requests_is_busy() {
    let mut daemon = Daemon::new(&["w1"]);
    daemon.receive_state(fleet::DaemonState { is_leaving: true, ..Default::default() }, 2);
    let _answers: Vec<_> = (0..4).map(|number| ask(&mut daemon, number, "llm")).collect();
    assert!(!daemon.state.is_busy());
    let _waiting = ask(&mut daemon, 4, "llm");
    assert!(daemon.state.is_busy());
    daemon.receive(Message::SlotUnanswered(4));
    assert!(!daemon.state.is_busy(), "the request was withdrawn");
}

/// Guards against a waiting call that notices late that a slot has become free by time, because the next
/// tick was planned before it came.
#[test]
fn the_next_tick_is_earlier_once_a_request_waits() {
    let daemon = Daemon::new(&["w1"]);
    let start = Instant::now();
    let mut stakker = Stakker::new(start);
    let actor = control::Actor::new(daemon.state);
    let actor = actor!(stakker, <control::Actor<_>>::init(actor), ret_nop!());
    stakker.run(start, false);
    let idle_wait = stakker.next_wait(start).expect("a tick");
    let mut answers = Vec::new();
    let wait_until_ms = clock::now_ms() + 10_000;
    let messages = (0..5).map(|number| {
        let (reply, answer) = oneshot::channel();
        answers.push(answer);
        Message::SlotAsked(Box::new(SlotAsk { wait_until_ms, ..slot_ask(number, "llm", reply) }))
    });
    let messages = messages.collect();
    call!([actor], receive(messages));
    stakker.run(start, false);
    assert!(matches!(answers[4].try_recv(), Ok(SlotReply::Queued(_))));
    let busy_wait = stakker.next_wait(start).expect("a tick");
    assert!(busy_wait < idle_wait / 2, "{busy_wait:?} instead of {idle_wait:?}");
}

/// Guards against a call that is woken twice, and against the return of a credit that is in use.
#[test]
fn a_repeated_answer_changes_nothing() {
    let mut daemon = Daemon::new(&[]);
    let service = service_of_other(&mut daemon);
    let mut answer = ask(&mut daemon, 1_000, &service);
    let message = take_message(&mut daemon).expect("a request");
    assert_eq!(message.slot_requests[0].number, 1_000);
    receive_grant(&mut daemon, 1_000, 1);
    receive_grant(&mut daemon, 1_000, 1);
    assert!(matches!(answer.try_recv(), Ok(SlotReply::Granted(_))));
    assert_eq!(take_message(&mut daemon), None);
    let end = slot_credit::CallEnd::Done { took_ms: 30 };
    daemon.receive(Message::SlotCallEnded { number: 1_000, end });
    let returned = take_message(&mut daemon).expect("a return").slot_reports.remove(0);
    assert_eq!(returned.returns[0].end(), end);
    assert!(returned.foreign_calls.is_empty());
}

/// Guards against slots that nobody uses after a late answer.
#[test]
fn a_credit_that_comes_too_late_is_returned() {
    let mut daemon = Daemon::new(&[]);
    let service = service_of_other(&mut daemon);
    let answer = ask(&mut daemon, 1_000, &service);
    take_message(&mut daemon);
    drop(answer);
    daemon.receive(Message::SlotUnanswered(1_000));
    let withdrawn = take_message(&mut daemon).expect("a withdrawal").slot_reports.remove(0);
    assert_eq!(withdrawn.returns[0].end(), slot_credit::CallEnd::Unused);
    receive_grant(&mut daemon, 1_000, 1);
    let returned = take_message(&mut daemon).expect("a return").slot_reports.remove(0);
    assert_eq!(returned.returns[0].number, 1_000);
    assert_eq!(returned.returns[0].end(), slot_credit::CallEnd::Unused);
}

/// Guards against calls that each wait in vain for a broker that was killed.
#[test]
fn a_broker_that_does_not_answer_is_replaced() {
    let mut daemon = Daemon::new(&[]);
    let service = service_of_other(&mut daemon);
    for number in 1_000..1_003 {
        let answer = ask(&mut daemon, number, &service);
        drop(answer);
        let now_ms = NOW_MS + (number - 1_000) * 100;
        daemon.state.receive(vec![Message::SlotUnanswered(number)], now_ms);
    }
    daemon.take_datagrams();
    let mut answer = ask(&mut daemon, 1_003, &service);
    assert!(answer.try_recv().is_ok(), "this daemon decides by itself");
}

/// Guards against a restarted broker that assigns the slots of its predecessor's calls again.
#[test]
fn a_restarted_broker_is_told_of_the_calls_in_flight() {
    let mut daemon = Daemon::new(&[]);
    let service = service_of_other(&mut daemon);
    let _first = ask(&mut daemon, 1_000, &service);
    receive_grant(&mut daemon, 1_000, 1);
    let _second = ask(&mut daemon, 1_001, &service);
    receive_grant(&mut daemon, 1_001, 2);
    daemon.take_datagrams();
    let _third = ask(&mut daemon, 1_002, &service);
    let message = take_message(&mut daemon).expect("a request");
    let calls = message.slot_reports[0].foreign_calls();
    assert_eq!(calls, [(name::WorkerName::from("w1"), 1)]);
}

/// Guards against two credits for one request, and against a slot that is freed twice.
#[test]
fn a_repeated_request_gets_one_credit() {
    let mut daemon = Daemon::new(&["w1"]);
    let ask = |daemon: &mut Daemon, numbers: &[u64]| {
        let slot_requests = numbers.iter().map(|number| request(*number)).collect();
        receive(daemon, fleet::Datagram { slot_requests, ..datagram(1) });
        take_message(daemon).map_or_else(Vec::new, |message| message.slot_answers)
    };
    let granted = |answers: &[fleet::SlotAnswer]| {
        answers.iter().filter(|answer| !answer.worker.is_empty()).count()
    };
    assert_eq!(granted(&ask(&mut daemon, &[1, 2, 3])), 3);
    assert_eq!(granted(&ask(&mut daemon, &[1, 1])), 2, "the same answers again");
    assert_eq!(granted(&ask(&mut daemon, &[4])), 1);
    assert!(ask(&mut daemon, &[5])[0].is_queued);
    let end = slot_credit::CallEnd::Done { took_ms: 30 };
    let mut report = fleet::SlotReport::new(&pool("llm"));
    report.returns = vec![fleet::SlotReturn::new(1, None, end); 2];
    let report = fleet::Datagram { slot_reports: vec![report], ..datagram(1) };
    receive(&mut daemon, report);
    let answers = take_message(&mut daemon).expect("the slot is passed on").slot_answers;
    assert_eq!((answers.len(), answers[0].number), (1, 5));
    assert!(ask(&mut daemon, &[6])[0].is_queued, "one slot was freed");
}
