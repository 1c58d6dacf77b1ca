//! Property tests of forwarded requests and their answers as frames.

#![allow(clippy::unwrap_used)]

use jasminetack_domain::adapter;
use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_entry::traffic;
use jasminetack_wire::peer;
use proptest::prelude::*;

fn orders() -> impl Strategy<Value = traffic::ModelRequest> {
    let names = (".{1,12}", "[a-z]{1,9}", "[a-z0-9.@-]{1,20}", ".{1,9}", "/[a-z/]{0,20}");
    let numbers = (any::<u32>(), any::<u32>(), any::<u32>(), any::<u64>(), 0_u8..3);
    let body = proptest::collection::vec(any::<u8>(), 0..100);
    (names, numbers, body).prop_map(|(names, numbers, body)| {
        let (request_id, worker, adapter, team, path) = names;
        let (version, weight, share, remaining_ms, class) = numbers;
        let classes = [request::Class::Urgent, request::Class::Normal, request::Class::Bulk];
        traffic::ModelRequest {
            request_id: name::RequestId::from(request_id),
            worker: name::WorkerName::from(worker),
            adapter: adapter::AdapterRef::new(name::AdapterName::from(adapter), version),
            team: name::TeamName::from(team),
            weight,
            share,
            class: classes[usize::from(class)],
            remaining_ms,
            path,
            body: body.into(),
        }
    })
}

fn answer(chunks: Vec<Vec<u8>>) -> Vec<traffic::AnswerEvent> {
    let content_type = "text/event-stream".to_owned();
    let mut events = vec![
        traffic::AnswerEvent::Progress { outstanding: 3 },
        traffic::AnswerEvent::Head { status: 200, content_type, outstanding: 2 },
    ];
    for chunk in chunks {
        events.push(traffic::AnswerEvent::Chunk(chunk.into()));
    }
    events.push(traffic::AnswerEvent::End);
    events
}

fn chunks() -> impl Strategy<Value = Vec<Vec<u8>>> {
    proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..20), 0..10)
}

proptest! {
    /// Guards against a field that is lost on the way to the owner.
    #[test]
    fn order_survives_forwarding(order in orders()) {
        let forward = peer::Forward::from(order.clone());
        prop_assert_eq!(traffic::ModelRequest::try_from(forward).unwrap(), order);
    }

    /// Guards against a class of a newer version being served as another class.
    #[test]
    fn unknown_class_is_refused(order in orders(), class in 3_u32..) {
        let forward = peer::Forward { class, ..peer::Forward::from(order) };
        prop_assert!(traffic::ModelRequest::try_from(forward).is_err());
    }

    /// Guards against an answer that changes between the owner and the entry daemon.
    #[test]
    fn answer_survives_forwarding(chunks in chunks()) {
        let events = answer(chunks);
        let mut encoder = traffic::AnswerEncoder::new("r1".to_owned());
        let mut decoder = traffic::AnswerDecoder::new("r1".to_owned());
        for event in events {
            let frame = encoder.encode(event.clone());
            prop_assert_eq!(decoder.decode(frame).unwrap(), Some(event));
        }
    }

    /// Guards against a caller who gets an answer with a part missing, repeated or moved.
    #[test]
    fn changed_answer_is_not_accepted_as_complete(
        chunks in chunks(),
        at in any::<prop::sample::Index>(),
        change in 0_u8..3,
    ) {
        let mut encoder = traffic::AnswerEncoder::new("r1".to_owned());
        let mut frames: Vec<_> =
            answer(chunks).into_iter().skip(1).map(|event| encoder.encode(event)).collect();
        let index = at.index(frames.len() - 1);
        match change {
            0 => drop(frames.remove(index)),
            1 => frames.insert(index, frames[index].clone()),
            _ => frames.swap(index, index + 1),
        }
        let mut decoder = traffic::AnswerDecoder::new("r1".to_owned());
        let result: Result<Vec<_>, _> =
            frames.into_iter().map(|frame| decoder.decode(frame)).collect();
        prop_assert!(result.is_err());
    }

    /// Guards against an answer to another request on a reused connection.
    #[test]
    fn frame_of_another_request_is_an_error(chunks in chunks()) {
        let mut encoder = traffic::AnswerEncoder::new("r2".to_owned());
        for event in answer(chunks) {
            let mut decoder = traffic::AnswerDecoder::new("r1".to_owned());
            prop_assert!(decoder.decode(encoder.encode(event)).is_err());
        }
    }
}

/// Guards against a refusal within an answer that claims that the request did not run.
#[test]
fn refusal_after_the_head_is_never_not_run() {
    let mut encoder = traffic::AnswerEncoder::new("r1".to_owned());
    let mut decoder = traffic::AnswerDecoder::new("r1".to_owned());
    let head =
        traffic::AnswerEvent::Head { status: 200, content_type: String::new(), outstanding: 0 };
    decoder.decode(encoder.encode(head)).unwrap();
    let refusal = traffic::Refusal::not_run(503, "code", "message");
    let event = decoder.decode(encoder.encode(traffic::AnswerEvent::Refused(refusal))).unwrap();
    let Some(traffic::AnswerEvent::Refused(refusal)) = event else {
        panic!("not a refusal: {event:?}");
    };
    assert_eq!(refusal.outcome, request::Outcome::Unknown);
}
