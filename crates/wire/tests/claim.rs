//! Property tests of the encoding of claims.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use jasminetack_domain::claim;
use jasminetack_domain::name;
use jasminetack_wire::claim as wire;
use proptest::prelude::*;

proptest! {
    /// Guards against a recorded response that differs after it is stored and read.
    #[test]
    fn stored_record_round_trips(
        token in any::<u128>(),
        digest in any::<[u8; 32]>(),
        status in 200_u16..600,
        body in proptest::option::of(proptest::collection::vec(any::<u8>(), 0..50)),
        is_done in any::<bool>(),
    ) {
        let answer =
            claim::Answer { status, content_type: Arc::from("a/b"), body: body.map(Arc::from) };
        let progress =
            if is_done { claim::Progress::Answered(answer) } else { claim::Progress::Open };
        let record = claim::Record {
            token: claim::AttemptToken::new(token),
            digest: claim::ContentDigest::new(digest),
            progress,
        };
        let text = serde_json::to_string(&wire::ClaimRow::new(&record, 5)).unwrap();
        let row: wire::ClaimRow = serde_json::from_str(&text).unwrap();
        prop_assert_eq!(claim::Record::try_from(row).unwrap(), record);
    }

    /// Guards against calls with different teams, services or keys that share a claim, which happens
    /// when separators within a part are not escaped.
    #[test]
    fn keys_do_not_collide(
        left in ("[a/%2F5]{1,4}", "[a/%2F5]{1,4}", "[a/%2F5]{1,4}"),
        right in ("[a/%2F5]{1,4}", "[a/%2F5]{1,4}", "[a/%2F5]{1,4}"),
    ) {
        let key = |parts: &(String, String, String)| {
            let team = name::TeamName::from(parts.0.as_str());
            wire::claim_key(&team, &name::ServiceName::from(parts.1.as_str()), &parts.2)
        };
        prop_assert_eq!(key(&left) == key(&right), left == right);
    }

    /// Guards against a panic on malformed rows written by other software.
    #[test]
    fn malformed_rows_are_errors(token in ".{0,6}", digest in ".{0,6}") {
        let row = wire::ClaimRow { token, digest, claimed_unix_ms: 0, answer: None };
        prop_assert!(claim::Record::try_from(row).is_err());
    }
}
