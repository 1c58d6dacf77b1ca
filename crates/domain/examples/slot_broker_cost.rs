//! Measures the time of a broker's decisions by the number of waiting requests; see
//! docs/design/slot-credits.md.
//!
//! Run with `cargo run --release -p jasminetack-domain --example slot_broker_cost`.

use std::time::Instant;

use jasminetack_domain::name;
use jasminetack_domain::slot_credit;

const WORKERS: usize = 7;
const SLOTS: u32 = 6;
const TEAMS: u64 = 16;
const ROUNDS: u64 = 20_000;
const MICROSECONDS: f64 = 1e6;

fn request(number: u64) -> slot_credit::CreditRequest {
    let host = name::HostName::from(format!("edge-{}", number % 70));
    slot_credit::CreditRequest {
        key: slot_credit::RequestKey { host, started_unix_ms: 1, number },
        team: Some(name::TeamName::from(format!("team-{}", number % TEAMS))),
        urgency: (number % 3) as u8,
        caller_hash: number,
        wait_until_ms: u64::MAX,
        excluded: Vec::new(),
    }
}

/// Returns the time of one request and one return while `waiting` requests wait.
fn time_per_call_us(waiting: u64) -> f64 {
    let workers: Vec<_> =
        (0..WORKERS).map(|index| name::WorkerName::from(format!("i-{index:010}"))).collect();
    let capacities = workers.iter().map(|worker| slot_credit::WorkerCapacity {
        worker,
        slots: SLOTS,
        started_unix_ms: 1,
    });
    let mut broker = slot_credit::SlotBroker::default();
    broker.set_workers(capacities, 0);
    let mut running = std::collections::VecDeque::new();
    let mut next = 0;
    while broker.waiting_count() < waiting as usize || broker.credit_count() < 36 {
        for answer in broker.request(request(next), 0) {
            if matches!(answer.decision, slot_credit::Decision::Granted(_)) {
                running.push_back(answer.key);
            }
        }
        next += 1;
    }
    let requests: Vec<_> = (next..next + ROUNDS).map(request).collect();
    let started = Instant::now();
    for request in requests {
        let end = slot_credit::CallEnd::Done { took_ms: 45 };
        let ended = running.pop_front();
        let mut answers = ended.map_or_else(Vec::new, |key| broker.finish(&key, end, 0));
        answers.extend(broker.request(request, 0));
        for answer in answers {
            if matches!(answer.decision, slot_credit::Decision::Granted(_)) {
                running.push_back(answer.key);
            }
        }
    }
    started.elapsed().as_secs_f64() / ROUNDS as f64 * MICROSECONDS
}

fn main() {
    for waiting in [0, 20, 100, 400] {
        println!("waiting={waiting} us_per_call={:.2}", time_per_call_us(waiting));
    }
}
