//! Tests of the broker of slots, the order of waiting requests and the choice of the broker.

use std::collections::VecDeque;

use jasminetack_domain::name;
use jasminetack_domain::slot_credit::{
    Answer, BrokerDirectory, CallEnd, Conclusion, CreditLedger, CreditRequest, Decision,
    HeldCredit, PoolKey, RegionSearch, RequestKey, SlotBroker, WorkerCapacity,
};

const NOW_MS: u64 = 10_000;

fn worker(index: usize) -> name::WorkerName {
    name::WorkerName::from(format!("w{index}"))
}

fn key(host: &str, number: u64) -> RequestKey {
    RequestKey { host: name::HostName::from(host), started_unix_ms: 1, number }
}

fn request(number: u64) -> CreditRequest {
    CreditRequest {
        key: key("d1", number),
        team: None,
        urgency: 1,
        caller_hash: number,
        wait_until_ms: NOW_MS + 10_000,
        excluded: Vec::new(),
    }
}

fn team_request(number: u64, team: &str) -> CreditRequest {
    CreditRequest { team: Some(name::TeamName::from(team)), ..request(number) }
}

fn set_workers(broker: &mut SlotBroker, workers: usize, slots: u32) -> Vec<Answer> {
    let names: Vec<_> = (0..workers).map(worker).collect();
    let capacities =
        names.iter().map(|worker| WorkerCapacity { worker, slots, started_unix_ms: 1 });
    broker.set_workers(capacities, NOW_MS)
}

fn broker(workers: usize, slots: u32) -> SlotBroker {
    let mut broker = SlotBroker::default();
    set_workers(&mut broker, workers, slots);
    broker
}

/// Returns the numbers of the requests that got a credit.
fn granted(answers: &[Answer]) -> Vec<u64> {
    let granted = answers.iter().filter(|answer| matches!(answer.decision, Decision::Granted(_)));
    granted.map(|answer| answer.key.number).collect()
}

fn granted_worker(answers: &[Answer]) -> Option<&name::WorkerName> {
    match &answers.first()?.decision {
        Decision::Granted(worker) => Some(worker),
        _ => None,
    }
}

/// Requests slots until none is free.
fn fill(broker: &mut SlotBroker, credits: u64) {
    for number in 1_000..1_000 + credits {
        assert_eq!(granted(&broker.request(request(number), NOW_MS)), [number]);
    }
}

/// Frees slots one by one and returns the order in which waiting requests get them.
fn drain(broker: &mut SlotBroker, slots: u64) -> Vec<u64> {
    let mut order = Vec::new();
    for number in 1_000..1_000 + slots {
        let end = CallEnd::Done { took_ms: 30 };
        order.extend(granted(&broker.finish(&key("d1", number), end, NOW_MS)));
    }
    order
}

/// Guards against two calls for the last slot of a worker while another worker is idle.
#[test]
fn calls_go_to_the_worker_with_the_most_free_slots() {
    let mut broker = broker(3, 2);
    let mut uses = [0; 3];
    for number in 0..6 {
        let answers = broker.request(request(number), NOW_MS);
        let granted = granted_worker(&answers).expect("a free slot").clone();
        uses[(0..3).find(|index| worker(*index) == granted).expect("a known worker")] += 1;
        let most = uses.iter().max().unwrap() - uses.iter().min().unwrap();
        assert!(most <= 1, "{uses:?}");
    }
    let answers = broker.request(request(6), NOW_MS);
    assert!(matches!(answers[0].decision, Decision::Queued { .. }), "{answers:?}");
}

/// Guards against a retry at the worker that was already tried.
#[test]
fn an_excluded_worker_is_not_granted() {
    let mut broker = broker(2, 1);
    let excluded = CreditRequest { excluded: vec![worker(0)], ..request(1) };
    assert_eq!(granted_worker(&broker.request(excluded.clone(), NOW_MS)), Some(&worker(1)));
    let second = CreditRequest { key: key("d1", 2), ..excluded };
    assert!(granted(&broker.request(second, NOW_MS)).is_empty());
    // The slot of the excluded worker does not go to the waiting request, but to the next one.
    let answers = broker.request(request(3), NOW_MS);
    assert_eq!((granted(&answers), granted_worker(&answers)), (vec![3], Some(&worker(0))));
}

/// Guards against bulk work that is served before urgent work.
#[test]
fn the_most_urgent_request_is_first_and_then_the_earliest_deadline() {
    let mut broker = broker(1, 4);
    fill(&mut broker, 4);
    for (number, urgency, wait_ms) in [(1, 2, 9_000), (2, 1, 9_000), (3, 1, 8_000), (4, 0, 9_500)] {
        let wait_until_ms = NOW_MS + wait_ms;
        broker.request(CreditRequest { urgency, wait_until_ms, ..request(number) }, NOW_MS);
    }
    assert_eq!(drain(&mut broker, 4), [4, 3, 2, 1]);
}

/// Guards against a team with many callers that starves the others of the same urgency.
#[test]
fn a_team_with_many_requests_does_not_starve_another_one() {
    let mut broker = broker(1, 4);
    for number in 1_000..1_004 {
        broker.request(team_request(number, "hot"), NOW_MS);
    }
    for number in 1..=40 {
        let hot = CreditRequest { wait_until_ms: NOW_MS + 5_000, ..team_request(number, "hot") };
        broker.request(hot, NOW_MS);
    }
    for number in [101, 102] {
        broker.request(team_request(number, "calm"), NOW_MS);
    }
    assert_eq!(drain(&mut broker, 2), [101, 102], "although the others have earlier deadlines");
}

/// Guards against waiting requests of a low urgency that never get an answer.
#[test]
fn a_request_that_is_overtaken_until_its_time_is_over_is_told_so() {
    let mut broker = broker(1, 1);
    fill(&mut broker, 1);
    let late = CreditRequest { urgency: 9, wait_until_ms: NOW_MS + 200, ..request(1) };
    broker.request(late, NOW_MS);
    for number in 2..10 {
        broker.request(CreditRequest { urgency: 0, ..request(number) }, NOW_MS);
    }
    let answers = broker.expire(NOW_MS + 200);
    assert!(
        matches!(&answers[..], [Answer { key, decision: Decision::NoSlot { wait_ms: Some(_) } }]
            if key.number == 1),
        "{answers:?}"
    );
}

/// Guards against a wait that ends after the caller has given up.
#[test]
fn a_request_that_cannot_be_served_in_time_is_told_the_predicted_wait_at_once() {
    let mut broker = broker(2, 3);
    fill(&mut broker, 6);
    // One slot of six becomes free every 10 ms at calls of 60 ms.
    for number in 0..4 {
        broker.request(request(number), NOW_MS);
    }
    let hurried = CreditRequest { wait_until_ms: NOW_MS + 45, ..request(5) };
    let answers = broker.request(hurried, NOW_MS);
    assert_eq!(answers[0].decision, Decision::NoSlot { wait_ms: Some(50) });
    let urgent = CreditRequest { urgency: 0, wait_until_ms: NOW_MS + 45, ..request(6) };
    let answers = broker.request(urgent, NOW_MS);
    assert_eq!(answers[0].decision, Decision::Queued { wait_ms: 10 });
}

/// Guards against callers that are refused again and again while new ones are served.
#[test]
fn a_caller_that_returns_goes_ahead_of_new_ones() {
    let mut broker = broker(1, 2);
    fill(&mut broker, 2);
    let refused = CreditRequest { wait_until_ms: NOW_MS, caller_hash: 77, ..request(1) };
    let answers = broker.request(refused, NOW_MS);
    assert!(matches!(answers[0].decision, Decision::NoSlot { .. }));
    broker.request(request(2), NOW_MS);
    // The caller reaches another daemon.
    let returned = CreditRequest { key: key("d2", 1), caller_hash: 77, ..request(0) };
    broker.request(returned, NOW_MS);
    assert_eq!(drain(&mut broker, 2), [1, 2]);
}

/// Guards against slots that stay lost after a daemon was killed.
#[test]
fn a_credit_that_is_not_returned_expires() {
    let mut broker = broker(1, 1);
    fill(&mut broker, 1);
    broker.request(request(1), NOW_MS);
    assert!(broker.expire(NOW_MS + 400).is_empty(), "calls may stall for some hundred ms");
    assert_eq!(granted(&broker.expire(NOW_MS + 700)), [1]);
    assert_eq!(broker.take_counts().expired, 1);
}

/// Guards against a worker whose calls outlast their credits and that is granted too many calls for ever,
/// because the broker learns from none of them.
#[test]
fn a_call_that_outlasts_its_credit_lengthens_the_next_ones() {
    let mut broker = broker(1, 2);
    fill(&mut broker, 2);
    broker.finish(&key("d1", 1_000), CallEnd::Done { took_ms: 30 }, NOW_MS + 30);
    let expired_ms = NOW_MS + 601;
    broker.expire(expired_ms);
    assert_eq!(broker.credit_count(), 0);
    broker.finish(&key("d1", 1_001), CallEnd::Done { took_ms: 800 }, NOW_MS + 800);
    // A repeated return teaches nothing more.
    let late_ms = NOW_MS + 801;
    broker.finish(&key("d1", 1_001), CallEnd::Done { took_ms: 100_000 }, late_ms);
    broker.request(request(1), late_ms);
    broker.expire(late_ms + 900);
    assert_eq!(broker.credit_count(), 1, "the credit lives for ten times 107 ms");
    broker.expire(late_ms + 1_100);
    assert_eq!(broker.credit_count(), 0);
}

/// Guards against credits that expire too early until the first long call ends.
#[test]
fn an_expiry_without_any_end_of_a_call_lengthens_the_next_credits() {
    let mut broker = broker(1, 1);
    fill(&mut broker, 1);
    let expired_ms = NOW_MS + 601;
    broker.expire(expired_ms);
    assert_eq!(granted(&broker.request(request(1), expired_ms)), [1]);
    broker.expire(expired_ms + 1_100);
    assert_eq!(broker.credit_count(), 1, "calls of this worker take longer than 60 ms");
}

/// Guards against longer predicted waits when returns are lost or a daemon is killed.
#[test]
fn an_expiry_teaches_nothing_while_other_calls_end() {
    let mut broker = broker(1, 2);
    fill(&mut broker, 2);
    broker.finish(&key("d1", 1_000), CallEnd::Done { took_ms: 30 }, NOW_MS + 30);
    let expired_ms = NOW_MS + 601;
    broker.expire(expired_ms);
    broker.request(request(1), expired_ms);
    broker.expire(expired_ms + 500);
    assert_eq!(broker.credit_count(), 0, "the time to live is still the shortest");
}

/// Guards against two credits for one call after a duplicated datagram.
#[test]
fn a_repeated_request_gets_the_same_credit() {
    let mut broker = broker(2, 1);
    let first = broker.request(request(1), NOW_MS);
    assert_eq!(broker.request(request(1), NOW_MS), first);
    assert_eq!(broker.credit_count(), 1);
    // A repeated return frees one slot only.
    broker.request(request(2), NOW_MS);
    broker.finish(&key("d1", 1), CallEnd::Done { took_ms: 30 }, NOW_MS);
    broker.finish(&key("d1", 1), CallEnd::Done { took_ms: 30 }, NOW_MS);
    assert_eq!(broker.credit_count(), 1);
    assert_eq!(granted(&broker.request(request(3), NOW_MS)), [3]);
    assert!(granted(&broker.request(request(4), NOW_MS)).is_empty());
}

/// Guards against credits for a worker that has just rejected a call.
#[test]
fn a_rejection_makes_a_worker_count_as_full_for_a_short_while() {
    let mut broker = broker(2, 6);
    let granted = granted_worker(&broker.request(request(1), NOW_MS)).unwrap().clone();
    broker.finish(&key("d1", 1), CallEnd::Full, NOW_MS);
    for number in 2..8 {
        let answers = broker.request(request(number), NOW_MS);
        assert_ne!(granted_worker(&answers), Some(&granted));
    }
    let later = broker.request(request(8), NOW_MS + 100);
    assert_eq!(granted_worker(&later), Some(&granted));
}

/// Guards against a worker that is left idle for a second because a burst of calls met it full.
#[test]
fn rejections_of_calls_that_were_sent_together_count_once() {
    let mut broker = broker(1, 6);
    fill(&mut broker, 6);
    for number in 1_000..1_006 {
        broker.finish(&key("d1", number), CallEnd::Full, NOW_MS);
    }
    assert_eq!(granted(&broker.request(request(1), NOW_MS + 100)), [1]);
}

/// Guards against a worker that fails every call at once and therefore always has free slots.
#[test]
fn a_failing_worker_gets_no_calls_for_a_while() {
    let mut broker = broker(2, 6);
    let failing = granted_worker(&broker.request(request(1), NOW_MS)).unwrap().clone();
    broker.finish(&key("d1", 1), CallEnd::Failed, NOW_MS);
    for number in 2..20 {
        assert_ne!(granted_worker(&broker.request(request(number), NOW_MS)), Some(&failing));
    }
}

/// Guards against credits for workers that are no longer listed.
#[test]
fn a_worker_that_leaves_gets_no_calls_and_its_credits_do_not_count() {
    let mut broker = broker(2, 1);
    fill(&mut broker, 2);
    broker.request(request(1), NOW_MS);
    let answers = set_workers(&mut broker, 1, 1);
    assert!(answers.is_empty(), "the worker that stays is still full");
    let mut answers = Vec::new();
    for number in 1_000..1_002 {
        let end = CallEnd::Done { took_ms: 30 };
        answers.extend(broker.finish(&key("d1", number), end, NOW_MS));
    }
    assert_eq!(answers.len(), 1);
    assert_eq!(granted_worker(&answers), Some(&worker(0)));
    let none = broker.set_workers([], NOW_MS);
    assert!(none.is_empty());
    let answers = broker.request(request(2), NOW_MS);
    assert_eq!(answers[0].decision, Decision::NoSlot { wait_ms: None });
}

/// Guards against slots that are assigned a second time when the entry of their worker lapses for a moment.
#[test]
fn a_worker_that_returns_still_has_its_calls() {
    let mut broker = broker(1, 2);
    fill(&mut broker, 2);
    set_workers(&mut broker, 0, 2);
    set_workers(&mut broker, 1, 2);
    let answers = broker.request(request(1), NOW_MS);
    assert!(matches!(answers[0].decision, Decision::Queued { .. }), "{answers:?}");
    assert_eq!(drain(&mut broker, 1), [1]);
}

/// Worker with six slots that has as many calls as the broker allows.
struct FullWorker {
    broker: SlotBroker,
    calls: VecDeque<u64>,
    next_number: u64,
    now_ms: u64,
}

impl FullWorker {
    fn new() -> Self {
        let mut worker =
            Self { broker: broker(1, 6), calls: VecDeque::new(), next_number: 1, now_ms: NOW_MS };
        worker.fill();
        worker
    }

    fn fill(&mut self) {
        loop {
            let (number, wait_until_ms) = (self.next_number, self.now_ms);
            let request = CreditRequest { wait_until_ms, ..request(number) };
            if granted(&self.broker.request(request, self.now_ms)).is_empty() {
                return;
            }
            self.calls.push_back(number);
            self.next_number += 1;
        }
    }

    /// Ends the oldest call and sends the next ones.
    fn end_call(&mut self, end: CallEnd) {
        let number = self.calls.pop_front().expect("a call");
        self.broker.finish(&key("d1", number), end, self.now_ms);
        self.fill();
    }

    fn end_calls(&mut self, count: usize) {
        for _ in 0..count {
            self.end_call(CallEnd::Done { took_ms: 30 });
        }
    }
}

/// Guards against capacity that is left unused at overload, and against a long queue at a worker that
/// never rejects a call.
#[test]
fn a_worker_that_rejects_nothing_gets_up_to_half_of_its_slots_more() {
    let mut worker = FullWorker::new();
    assert_eq!(worker.calls.len(), 6);
    worker.end_calls(7);
    assert_eq!(worker.calls.len(), 6);
    worker.end_calls(1);
    assert_eq!(worker.calls.len(), 7);
    worker.end_calls(1_000);
    assert_eq!(worker.calls.len(), 9);
}

/// Guards against a worker that is sent as many calls again as it has rejected before.
#[test]
fn a_rejection_takes_one_of_the_calls_beyond_the_slots_back() {
    let mut worker = FullWorker::new();
    worker.end_calls(1_000);
    worker.end_call(CallEnd::Full);
    assert_eq!(worker.calls.len(), 8);
    // The worker counts as full for the mean time of a call.
    worker.now_ms += 100;
    worker.fill();
    assert_eq!(worker.calls.len(), 8);
    worker.end_calls(191);
    assert_eq!(worker.calls.len(), 8, "the limit is tried only once in two hundred calls");
    worker.end_calls(1);
    assert_eq!(worker.calls.len(), 9);
}

/// Guards against fewer calls than slots after rejections that have another cause.
#[test]
fn rejections_take_no_slots_away() {
    let mut worker = FullWorker::new();
    for _ in 0..10 {
        worker.end_call(CallEnd::Full);
        worker.now_ms += 2_000;
        worker.fill();
    }
    assert_eq!(worker.calls.len(), 6);
}

/// Guards against a new broker that assigns the slots of its predecessor's calls a second time.
#[test]
fn a_new_broker_learns_the_calls_in_flight_from_the_daemons() {
    let (pool, old) = (pool(), name::HostName::from("b1"));
    let mut ledger = CreditLedger::<()>::default();
    for number in 0..4 {
        let broker = Some((old.clone(), 1));
        ledger.hold(number, HeldCredit { pool: pool.clone(), worker: worker(0), broker });
    }
    ledger.record_broker(&old, 1);
    assert!(ledger.foreign_calls(&pool, &old).is_empty(), "the old broker knows them");
    let successor = name::HostName::from("b2");
    let calls = ledger.foreign_calls(&pool, &successor);
    assert_eq!(calls, [(worker(0), 4)]);
    let mut broker = broker(2, 4);
    broker.set_foreign_calls(&name::HostName::from("d1"), &calls, NOW_MS);
    for number in 0..4 {
        assert_eq!(granted_worker(&broker.request(request(number), NOW_MS)), Some(&worker(1)));
    }
    assert!(granted(&broker.request(request(4), NOW_MS)).is_empty());
    // A daemon that is killed reports no end of its calls.
    assert_eq!(granted(&broker.expire(NOW_MS + 700)), [4], "and then its calls are over");
    // A restarted broker knows nothing either.
    ledger.record_broker(&old, 2);
    assert_eq!(ledger.foreign_calls(&pool, &old), [(worker(0), 4)]);
}

/// Guards against calls that are reported as unknown to the broker that granted them, because an answer of
/// its former process came late.
#[test]
fn a_late_answer_of_a_former_process_changes_nothing() {
    let (pool, host) = (pool(), name::HostName::from("b1"));
    let mut ledger = CreditLedger::<()>::default();
    ledger.record_broker(&host, 2);
    let broker = Some((host.clone(), 2));
    ledger.hold(1, HeldCredit { pool: pool.clone(), worker: worker(0), broker });
    ledger.record_broker(&host, 1);
    assert!(ledger.foreign_calls(&pool, &host).is_empty());
}

fn pool() -> PoolKey {
    PoolKey { service: name::ServiceName::from("app"), region: name::RegionName::from("r") }
}

/// Guards against every call waiting in vain for a broker that was killed, until its death is known.
#[test]
fn a_broker_that_does_not_answer_is_passed_over_for_a_time() {
    let hosts: Vec<_> = (0..5).map(|index| name::HostName::from(format!("d{index}"))).collect();
    let mut directory = BrokerDirectory::default();
    let choose = |directory: &BrokerDirectory, now_ms| {
        directory.choose("app/r", &hosts, now_ms).cloned().expect("a broker")
    };
    let first = choose(&directory, NOW_MS);
    directory.record_unanswered(&first, NOW_MS);
    directory.record_unanswered(&first, NOW_MS + 100);
    directory.record_answer(&first);
    for at_ms in [NOW_MS + 200, NOW_MS + 300] {
        assert!(!directory.record_unanswered(&first, at_ms));
        assert_eq!(choose(&directory, at_ms), first, "single losses do not move the broker");
    }
    assert!(directory.record_unanswered(&first, NOW_MS + 400));
    assert_ne!(choose(&directory, NOW_MS + 400), first);
    assert_eq!(choose(&directory, NOW_MS + 4_400), first);
}

/// Guards against a broker that is passed over because this daemon or the broker got no processor time
/// for a moment, in which several requests time out.
#[test]
fn requests_that_time_out_together_count_once() {
    let broker = name::HostName::from("d0");
    let mut directory = BrokerDirectory::default();
    for _ in 0..10 {
        assert!(!directory.record_unanswered(&broker, NOW_MS));
    }
    assert_eq!(directory.choose("app/r", [&broker], NOW_MS), Some(&broker));
}

/// Guards against state that grows with the names of all hosts that have ever been there.
#[test]
fn hosts_that_are_gone_are_forgotten() {
    let (pool, hosts) = (pool(), ["kept", "gone"].map(name::HostName::from));
    let (mut directory, mut ledger) = (BrokerDirectory::default(), CreditLedger::<()>::default());
    for (number, host) in (1..).zip(&hosts) {
        for at_ms in [NOW_MS, NOW_MS + 100, NOW_MS + 200] {
            directory.record_unanswered(host, at_ms);
        }
        ledger.record_broker(host, 1);
        let broker = Some((host.clone(), 1));
        ledger.hold(number, HeldCredit { pool: pool.clone(), worker: worker(0), broker });
    }
    let is_kept = |host: &name::HostName| host.as_str() == "kept";
    directory.retain_hosts(is_kept);
    ledger.retain_brokers(is_kept);
    assert_eq!(directory.choose("app/r", &hosts, NOW_MS + 200), Some(&hosts[1]));
    let unknown = hosts.each_ref().map(|host| ledger.foreign_calls(&pool, host)[0].1);
    assert_eq!(unknown, [1, 2], "no process is known of the host that is gone");
}

/// Guards against a refusal although a region could not be asked.
#[test]
fn a_call_is_refused_only_if_every_region_is_full() {
    let mut search = RegionSearch::default();
    assert_eq!(search.conclude(), Conclusion::ChooseAlone);
    search.record_no_slot(Some(300));
    search.record_no_slot(Some(200));
    assert_eq!(search.conclude(), Conclusion::Refuse { wait_ms: 200 });
    let mut unknown = search;
    unknown.record_no_slot(None);
    assert_eq!(unknown.conclude(), Conclusion::ChooseAlone);
    search.record_no_answer();
    assert_eq!(search.conclude(), Conclusion::ChooseAlone);
}
