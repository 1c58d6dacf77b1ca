//! Property tests of the framing of messages between daemons.

#![allow(clippy::unwrap_used)]

use bytes::BytesMut;
use jasminetack_wire::codec;
use jasminetack_wire::peer;
use proptest::prelude::*;
use tokio_util::codec::{Decoder, Encoder};

fn chunk(request_id: String, sequence: u64, data: Vec<u8>) -> peer::Frame {
    let chunk = peer::Chunk { request_id, sequence, data: data.into() };
    peer::Frame { body: Some(peer::Body::Chunk(chunk)) }
}

fn frames() -> impl Strategy<Value = Vec<peer::Frame>> {
    let frame = (".{0,20}", any::<u64>(), proptest::collection::vec(any::<u8>(), 0..200))
        .prop_map(|(request_id, sequence, data)| chunk(request_id, sequence, data));
    proptest::collection::vec(frame, 0..8)
}

proptest! {
    /// Guards against decoding that depends on how TCP splits the stream.
    #[test]
    fn frames_decode_for_any_split(frames in frames(), step in 1_usize..50) {
        let mut encoded = BytesMut::new();
        for frame in &frames {
            codec::ProstCodec::default().encode(frame.clone(), &mut encoded).unwrap();
        }
        let mut codec = codec::ProstCodec::<peer::Frame>::default();
        let (mut received, mut decoded) = (BytesMut::new(), Vec::new());
        for part in encoded.chunks(step) {
            received.extend_from_slice(part);
            while let Some(frame) = codec.decode(&mut received).unwrap() {
                decoded.push(frame);
            }
        }
        prop_assert_eq!(decoded, frames);
    }

    /// Guards against a panic or an endless loop on bytes from a faulty sender.
    #[test]
    fn arbitrary_bytes_give_frames_or_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut received = BytesMut::from(bytes.as_slice());
        let mut codec = codec::ProstCodec::<peer::Frame>::default();
        while let Ok(Some(_)) = codec.decode(&mut received) {}
    }

    /// Guards against a truncated stream that is accepted as complete.
    #[test]
    fn truncated_frame_is_an_error_at_the_end(cut in 1_usize..30) {
        let mut encoded = BytesMut::new();
        let frame = chunk("r".to_owned(), 0, vec![7; 30]);
        codec::ProstCodec::default().encode(frame, &mut encoded).unwrap();
        encoded.truncate(encoded.len() - cut);
        let mut codec = codec::ProstCodec::<peer::Frame>::default();
        prop_assert!(codec.decode_eof(&mut encoded).is_err());
    }
}

/// Guards against a sender that makes the receiver allocate memory for an oversized frame.
#[test]
fn oversized_length_is_rejected_before_the_content_arrives() {
    let mut codec = codec::ProstCodec::<peer::Frame>::with_max_frame_bytes(1_000);
    let mut received = BytesMut::from(&1_001_u32.to_be_bytes()[..]);
    assert!(codec.decode(&mut received).is_err());
    let frame = chunk("r".to_owned(), 0, vec![0; 1_001]);
    let mut encoded = BytesMut::new();
    assert!(codec.encode(frame, &mut encoded).is_err());
    assert!(encoded.is_empty(), "nothing may be written of a rejected frame");
}
