//! Tests of the messages about slots.

use jasminetack_domain::{name, slot_credit};
use jasminetack_wire::fleet;
use prost::Message;

/// Longest datagram of an ordinary call without a wait.
const MAX_BYTES: usize = 110;

fn request() -> slot_credit::CreditRequest {
    slot_credit::CreditRequest {
        key: slot_credit::RequestKey {
            host: name::HostName::from("edge-12/10.0.3.17"),
            started_unix_ms: 1_796_542_909_417,
            number: 3_000_000_000,
        },
        team: Some(name::TeamName::from("hule930")),
        urgency: 2,
        caller_hash: u64::MAX,
        wait_until_ms: 10_175,
        excluded: vec![name::WorkerName::from("i-0158bf2087")],
    }
}

fn pool() -> slot_credit::PoolKey {
    let service = name::ServiceName::from("svc-gdhas8");
    slot_credit::PoolKey { service, region: name::RegionName::from("r-eu-north") }
}

fn datagram() -> fleet::Datagram {
    fleet::Datagram {
        host: "edge-12/10.0.3.17".to_owned(),
        started_unix_ms: 1_796_542_909_417,
        sequence: 100_000,
        ..fleet::Datagram::default()
    }
}

/// Guards against a field that is lost on the way to the broker and back.
#[test]
fn requests_and_answers_survive_encoding() {
    let (pool, request) = (pool(), request());
    let encoded = fleet::SlotRequest::new(&pool, &request, 10_000);
    let decoded = fleet::SlotRequest::decode(encoded.encode_to_vec().as_slice()).unwrap();
    assert_eq!(decoded.pool(), pool);
    let key = &request.key;
    // The waiting time is counted by the clock of the broker.
    let expected = slot_credit::CreditRequest { wait_until_ms: 20_175, ..request.clone() };
    assert_eq!(decoded.request(&key.host, key.started_unix_ms, 20_000), expected);
    let decisions = [
        slot_credit::Decision::Granted(name::WorkerName::from("i-1")),
        slot_credit::Decision::Queued { wait_ms: 12 },
        slot_credit::Decision::NoSlot { wait_ms: Some(120) },
        slot_credit::Decision::NoSlot { wait_ms: None },
    ];
    for decision in decisions {
        let answer = slot_credit::Answer { key: key.clone(), decision: decision.clone() };
        let encoded = fleet::SlotAnswer::from(&answer).encode_to_vec();
        let decoded = fleet::SlotAnswer::decode(encoded.as_slice()).unwrap();
        assert_eq!(slot_credit::Decision::from(&decoded), decision);
    }
    let ends = [
        slot_credit::CallEnd::Done { took_ms: 30 },
        slot_credit::CallEnd::Full,
        slot_credit::CallEnd::Failed,
        slot_credit::CallEnd::Unused,
    ];
    for end in ends {
        let encoded = fleet::SlotReturn::new(7, None, end).encode_to_vec();
        assert_eq!(fleet::SlotReturn::decode(encoded.as_slice()).unwrap().end(), end);
    }
}

/// Guards against messages that grow with what a daemon knows.
#[test]
fn the_datagrams_of_a_call_are_small() {
    let (pool, request) = (pool(), request());
    let mut ask = datagram();
    let without_exclusions = slot_credit::CreditRequest { excluded: Vec::new(), ..request };
    ask.slot_requests.push(fleet::SlotRequest::new(&pool, &without_exclusions, 10_000));
    let mut answer = datagram();
    let decision = slot_credit::Decision::Granted(name::WorkerName::from("i-0158bf2087"));
    let key = without_exclusions.key;
    answer.slot_answers.push(fleet::SlotAnswer::from(&slot_credit::Answer { key, decision }));
    let mut report = fleet::SlotReport::new(&pool);
    let end = slot_credit::CallEnd::Done { took_ms: 30 };
    report.returns.push(fleet::SlotReturn::new(3_000_000_000, None, end));
    let mut returned = datagram();
    returned.slot_reports.push(report);
    let sizes = [ask, answer, returned].map(|datagram| datagram.encoded_len());
    println!("bytes of request, answer and return: {sizes:?}");
    assert!(sizes.iter().all(|size| *size <= MAX_BYTES), "{sizes:?}");
}
