//! Tests of the limits on retries and hedged requests.

use jasminetack_domain::request;

/// Guards against an estimate that does not converge to the p95, which would hedge most requests or
/// none.
#[test]
fn hedge_delay_converges_to_the_p95() {
    let mut delay = request::HedgeDelay::default();
    assert_eq!(delay.delay_ms(request::Class::Normal), None);
    for round in 0..20_000_u64 {
        // Uniform from 100 to 199 ms: the p95 is 195 ms.
        delay.record(request::Class::Normal, 100 + round * 37 % 100);
    }
    let delay_ms = delay.delay_ms(request::Class::Normal).unwrap();
    assert!((180..=215).contains(&delay_ms), "{delay_ms}");
    assert_eq!(delay.delay_ms(request::Class::Urgent), None);
}

/// Guards against retries that multiply the load when all requests fail.
#[test]
fn budget_bounds_extra_requests() {
    let mut budget = request::RetryBudget::new(10);
    let mut extra = 0;
    for _ in 0..1_000 {
        budget.count_request();
        extra += u32::from(budget.try_withdraw());
    }
    assert!((100..=110).contains(&extra), "{extra}");
    assert!(!request::RetryBudget::new(0).try_withdraw());
}

/// Guards against reporting `not-run` although one of several attempts may have been executed.
#[test]
fn one_unknown_attempt_makes_the_request_unknown() {
    let mut budget = request::RetryBudget::new(10);
    let mut request = request::Request::new(1_000);
    let unknown = request.attempt_failed(request::Outcome::Unknown, 0, &mut budget);
    assert_eq!(unknown, request::RetryDecision::Retry);
    let not_run = request.attempt_failed(request::Outcome::NotRun, 0, &mut budget);
    assert_eq!(not_run, request::RetryDecision::Retry);
    assert_eq!(request.outcome(), request::Outcome::Unknown);
}

/// Guards against unlimited retries of requests that may have been executed.
#[test]
fn unknown_attempts_need_budget() {
    let mut budget = request::RetryBudget::new(0);
    let mut request = request::Request::new(1_000);
    let decision = request.attempt_failed(request::Outcome::Unknown, 0, &mut budget);
    assert_eq!(decision, request::RetryDecision::Fail);
}
