//! Tests of the messages about quotas of teams.

use jasminetack_domain::name;
use jasminetack_domain::team_quota;
use jasminetack_wire::fleet;
use proptest::prelude::*;
use prost::Message;

/// Sizes from which the interval of loans is computed (`team_quota::TeamQuotas`).
const MAX_DATAGRAM_BYTES: usize = 70;
const MAX_LOAN_BYTES: usize = 23;
/// Headers of IP and UDP.
const HEADER_BYTES: usize = 28;

fn loan() -> team_quota::Loan {
    team_quota::Loan {
        team: name::TeamName::from("hule930"),
        share: 0.95 / 70.0,
        tokens: 0.0,
        until_store_ms: 1_796_500_000_000,
    }
}

fn datagram(loans: usize) -> fleet::Datagram {
    fleet::Datagram {
        host: "i-0a1b2c3d4e5f/10.201.102.103".to_owned(),
        started_unix_ms: 1_796_500_000_000,
        sequence: 1_000_000,
        team_loans: vec![fleet::TeamLoan::from(&loan()); loans],
        ..fleet::Datagram::default()
    }
}

#[test]
fn loans_are_as_short_as_the_interval_of_their_renewal_assumes() {
    let empty = datagram(0).encoded_len() + HEADER_BYTES;
    let loan = datagram(1).encoded_len() + HEADER_BYTES - empty;
    println!("datagram {empty} bytes, loan {loan} bytes");
    assert!(empty <= MAX_DATAGRAM_BYTES, "{empty}");
    assert!(loan <= MAX_LOAN_BYTES, "{loan}");
}

proptest! {
    /// Guards against a share or tokens that grow on their way: their sum over all daemons would
    /// exceed the limit.
    #[test]
    fn an_encoded_share_is_never_larger(share in 0.0..1.0f64, tokens in 0.0..1e6f64) {
        let sent = team_quota::Loan { share, tokens, ..loan() };
        let received = team_quota::Loan::from(&fleet::TeamLoan::from(&sent));
        prop_assert!(received.share <= share && share - received.share < 1e-8);
        prop_assert!(received.tokens <= tokens);
        prop_assert_eq!(received.until_store_ms, sent.until_store_ms);
        let grant = team_quota::Grant {
            team: sent.team.clone(),
            share,
            tokens,
            requested_ms: 7,
            is_exhausted: true,
            held_share: share,
            held_until_store_ms: 9,
        };
        let received = team_quota::Grant::from(&fleet::TeamGrant::from(&grant));
        prop_assert!(received.share <= share && received.tokens <= tokens);
        prop_assert_eq!((received.requested_ms, received.held_until_store_ms), (7, 9));
        prop_assert!(received.is_exhausted);
    }
}
