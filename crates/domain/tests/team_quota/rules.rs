//! Tests of single rules with one or two daemons.

use jasminetack_domain::name;
use jasminetack_domain::team_quota::{
    Admission, ClockBounds, Grant, Loan, Message, ShareRequest, TeamLimit, TeamQuotas,
};

use super::fleet::BOUNDS;

const START_MS: u64 = 100_000;
const CLOCK: ClockBounds = ClockBounds { min_ahead_ms: 0, max_ahead_ms: 0 };

fn team() -> name::TeamName {
    name::TeamName::from("hule930")
}

fn limit(rate_per_s: f64) -> TeamLimit {
    TeamLimit::new(rate_per_s, rate_per_s, BOUNDS)
}

fn host(index: usize) -> name::HostName {
    name::HostName::from(format!("edge-{index}"))
}

/// Returns a daemon that knows `live` daemons, and the index of the exchange of the team.
fn daemon(own: usize, live: usize, owners: Option<usize>) -> TeamQuotas {
    let mut quotas = TeamQuotas::new(host(own), 1);
    quotas.set_clock(Some(CLOCK));
    quotas.set_limits([(team(), limit(100_000.0))], START_MS);
    quotas.set_daemons((0..live).map(host).collect(), owners, START_MS);
    quotas
}

fn usable(quotas: &TeamQuotas, now_ms: u64) -> f64 {
    quotas.iter().map(|(_, quota)| quota.shares().usable(now_ms)).sum()
}

/// Returns the indexes of the exchange and of the other one of two daemons.
fn exchange_and_other() -> (usize, usize) {
    let mut first = daemon(0, 2, Some(2));
    if first.due_messages(START_MS).is_empty() { (0, 1) } else { (1, 0) }
}

fn grant(tokens: f64, requested_ms: u64) -> Message {
    let grant = Grant {
        team: team(),
        share: 0.1,
        tokens,
        requested_ms,
        is_exhausted: false,
        held_share: 0.0,
        held_until_store_ms: 0,
    };
    Message { grants: vec![grant], ..Message::default() }
}

#[test]
fn a_repeated_grant_moves_its_tokens_once() {
    let mut quotas = daemon(0, 2, Some(100));
    let message = grant(5_000.0, START_MS);
    for _ in 0..3 {
        quotas.receive(&host(1), 1, 7, &message, START_MS + 5);
    }
    // The daemon has half a second of its own hundredth besides.
    assert_eq!(quotas.charge(&team(), 5_400, false, START_MS + 5), Some(Admission::Admitted));
    assert!(quotas.charge(&team(), 3_000, true, START_MS + 5) != Some(Admission::Admitted));
}

#[test]
fn a_late_grant_moves_neither_share_nor_tokens() {
    for (requested_ms, now_ms) in [(START_MS, START_MS + 5_000), (START_MS + 9_000, START_MS)] {
        let mut quotas = daemon(0, 2, Some(100));
        quotas.receive(&host(1), 1, 1, &grant(9_000.0, requested_ms), now_ms);
        assert!(usable(&quotas, now_ms) <= 0.01, "requested {requested_ms}, now {now_ms}");
        assert!(quotas.charge(&team(), 9_000, true, now_ms) != Some(Admission::Admitted));
    }
}

#[test]
fn a_borrowed_share_ends_while_the_daemon_is_frozen() {
    let mut quotas = daemon(0, 2, Some(100));
    quotas.receive(&host(1), 1, 1, &grant(0.0, START_MS), START_MS);
    assert!(usable(&quotas, START_MS) > 0.1);
    assert!(usable(&quotas, START_MS + 4_000) <= 0.01);
}

#[test]
fn a_lent_share_is_used_by_one_daemon_at_a_time() {
    let (exchange, other) = exchange_and_other();
    let (mut lender, mut borrower) = (daemon(other, 2, Some(2)), daemon(exchange, 2, Some(2)));
    let outbox = lender.due_messages(START_MS);
    let loans = &outbox[&host(exchange)];
    assert_eq!(loans.loans.len(), 1);
    borrower.receive(&host(other), 1, 1, loans, START_MS);
    for at_ms in START_MS..START_MS + 800 {
        borrower.charge(&team(), 2_000, false, at_ms);
        borrower.due_messages(at_ms);
    }
    for at_ms in (START_MS + 800..START_MS + 10_000).step_by(50) {
        let sum = usable(&lender, at_ms) + usable(&borrower, at_ms);
        assert!(sum <= 1.0 + 1e-9, "{sum} at {at_ms}");
    }
    assert!(usable(&borrower, START_MS + 850) > 0.9);
    // The lender needs no message to get its share back.
    assert!((usable(&lender, START_MS + 10_000) - 0.5).abs() < 1e-9);
}

#[test]
fn a_restarted_lender_learns_what_it_has_lent() {
    let (exchange, other) = exchange_and_other();
    let mut quotas = daemon(exchange, 2, Some(2));
    let loan = Loan { team: team(), share: 0.45, tokens: 0.0, until_store_ms: START_MS + 4_000 };
    let message = Message { loans: vec![loan], ..Message::default() };
    quotas.receive(&host(other), 1, 1, &message, START_MS);
    let mut restarted = daemon(other, 2, Some(2));
    assert!((usable(&restarted, START_MS) - 0.5).abs() < 1e-9);
    let request = ShareRequest {
        team: team(),
        share: 0.2,
        min_share: 0.0,
        tokens: 0.0,
        sent_ms: START_MS,
        granted_ms: 0,
    };
    let message = Message { requests: vec![request], ..Message::default() };
    let response = quotas.receive(&host(other), 2, 1, &message, START_MS);
    restarted.receive(&host(exchange), 1, 1, &response, START_MS);
    let kept: f64 = restarted.iter().map(|(_, quota)| quota.shares().kept(START_MS)).sum();
    assert!(kept < 0.06, "{kept} kept");
}

#[test]
fn a_daemon_that_cannot_count_the_others_borrows_but_owns_nothing() {
    let mut quotas = daemon(0, 2, None);
    assert_eq!(usable(&quotas, START_MS), 0.0);
    let charged = quotas.charge(&team(), 300, false, START_MS);
    assert_eq!(charged, Some(Admission::AwaitTokens));
    quotas.receive(&host(1), 1, 1, &grant(300.0, START_MS), START_MS + 5);
    assert_eq!(quotas.charge(&team(), 300, true, START_MS + 5), Some(Admission::Admitted));
}

#[test]
fn a_team_that_was_removed_and_returns_has_not_regained_what_it_lent() {
    let (_, other) = exchange_and_other();
    let mut quotas = daemon(other, 2, Some(2));
    quotas.due_messages(START_MS);
    let before = usable(&quotas, START_MS);
    quotas.set_limits([], START_MS + 10);
    assert!(quotas.is_empty());
    quotas.set_limits([(team(), limit(100_000.0))], START_MS + 20);
    assert!((usable(&quotas, START_MS + 20) - before).abs() < 1e-9);
}

#[test]
fn a_refund_can_be_used_again() {
    let mut quotas = daemon(0, 1, Some(1));
    let charge = |quotas: &mut TeamQuotas| quotas.charge(&team(), 40_000, true, START_MS);
    assert_eq!(charge(&mut quotas), Some(Admission::Admitted));
    assert!(charge(&mut quotas) != Some(Admission::Admitted));
    quotas.refund(&team(), 40_000, START_MS);
    assert_eq!(charge(&mut quotas), Some(Admission::Admitted));
}

#[test]
fn a_request_above_the_whole_burst_is_admitted_by_a_full_bucket() {
    let mut quotas = daemon(0, 1, Some(1));
    let cost = 500_000;
    assert!(quotas.charge(&team(), cost, true, START_MS) != Some(Admission::Admitted));
    let full_ms = START_MS + 5_000;
    assert_eq!(quotas.charge(&team(), cost, true, full_ms), Some(Admission::Admitted));
    assert!(quotas.charge(&team(), 1_000, true, full_ms + 1_000) != Some(Admission::Admitted));
}

#[test]
fn a_team_without_a_quota_is_not_charged() {
    let mut quotas = daemon(0, 1, Some(1));
    assert_eq!(quotas.charge(&name::TeamName::from("other"), 10, false, START_MS), None);
}

fn share_request(sent_ms: u64, granted_ms: u64) -> Message {
    let request =
        ShareRequest { team: team(), share: 0.4, min_share: 0.0, tokens: 0.0, sent_ms, granted_ms };
    Message { requests: vec![request], ..Message::default() }
}

/// Returns an exchange that holds a share of 0.5 for some time, and nothing of its own.
fn exchange_with_loan(duration_ms: u64) -> TeamQuotas {
    let mut quotas = daemon(0, 4, None);
    let until_store_ms = START_MS + duration_ms;
    let loan = Loan { team: team(), share: 0.5, tokens: 0.0, until_store_ms };
    let message = Message { loans: vec![loan], ..Message::default() };
    quotas.receive(&host(3), 1, 1, &message, START_MS);
    quotas
}

fn granted(response: &Message) -> f64 {
    response.grants.iter().map(|grant| grant.share).sum()
}

#[test]
fn an_exchange_grants_no_more_than_it_holds() {
    let mut quotas = exchange_with_loan(9_000);
    let first = quotas.receive(&host(1), 1, 1, &share_request(50, 0), START_MS);
    let second = quotas.receive(&host(2), 1, 1, &share_request(50, 0), START_MS);
    assert!((granted(&first) - 0.4).abs() < 1e-9, "{first:?}");
    assert!((granted(&second) - 0.1).abs() < 1e-9, "{second:?}");
    // Half each from now on, but only once the first daemon has received its smaller grant.
    let first = quotas.receive(&host(1), 1, 2, &share_request(550, 50), START_MS + 500);
    assert!((granted(&first) - 0.25).abs() < 1e-9, "{first:?}");
    let second = quotas.receive(&host(2), 1, 2, &share_request(551, 50), START_MS + 501);
    assert!((granted(&second) - 0.1).abs() < 1e-9, "{second:?}");
    quotas.receive(&host(1), 1, 3, &share_request(600, 550), START_MS + 550);
    let second = quotas.receive(&host(2), 1, 3, &share_request(602, 551), START_MS + 552);
    assert!((granted(&second) - 0.25).abs() < 1e-9, "{second:?}");
}

#[test]
fn an_exchange_grants_nothing_for_longer_than_it_holds_it() {
    let mut quotas = exchange_with_loan(1_000);
    let response = quotas.receive(&host(1), 1, 1, &share_request(50, 0), START_MS);
    assert_eq!(granted(&response), 0.0);
}

/// Returns the predicted time until tokens are available at one of 70 daemons, with a share borrowed
/// from the exchange, after requests at a multiple of the rate of the daemon.
fn predicted_ms(share: f64, demand: f64) -> u64 {
    let mut quotas = daemon(0, 2, Some(70));
    let mut sequence = 0;
    let mut predicted = 0;
    for at_ms in (START_MS..START_MS + 4_000).step_by(10) {
        let mut message = grant(0.0, at_ms);
        (message.grants[0].share, message.grants[0].is_exhausted) = (share, true);
        sequence += 1;
        quotas.receive(&host(1), 1, sequence, &message, at_ms);
        let cost = (100_000.0 * (share + 1.0 / 70.0) * demand / 100.0) as u64;
        if let Some(Admission::Refused { available_in_ms }) =
            quotas.charge(&team(), cost, false, at_ms)
        {
            predicted = available_in_ms;
        }
    }
    predicted
}

/// Guards against callers of a hot team that return at once, most of them in vain.
#[test]
fn the_predicted_time_grows_with_the_demand() {
    let (slight, hot) = (predicted_ms(0.5, 1.5), predicted_ms(0.5, 7.0));
    assert!((1..=200).contains(&slight), "{slight} ms");
    assert!((400..=1_000).contains(&hot), "{hot} ms");
}

/// Guards against a daemon that sends callers away until what it kept of its share pays a request.
#[test]
fn tokens_of_the_exchange_count_in_the_predicted_time() {
    let mut quotas = daemon(0, 2, Some(70));
    quotas.due_messages(START_MS);
    let mut message = grant(0.0, START_MS);
    (message.grants[0].share, message.grants[0].is_exhausted) = (0.0, true);
    quotas.receive(&host(1), 1, 1, &message, START_MS);
    let charged = quotas.charge(&team(), 1_500, false, START_MS);
    let Some(Admission::Refused { available_in_ms }) = charged else { panic!("{charged:?}") };
    assert!((100..=1_000).contains(&available_in_ms), "{available_in_ms} ms");
}
