//! Tests of the estimate of how many adapters may be in transit.

use jasminetack_domain::placement;

/// Interval of asking for the end of a load.
const POLL_MS: u64 = 30;

/// Lets a daemon see loads while the workers together have as many in transit as it allows, and at
/// least one at each of the half that is never without demand; returns the estimates of the second
/// half.
fn estimates(true_limit: f64, load_ms: f64, workers: usize) -> Vec<usize> {
    let mut estimate = placement::ConcurrentLoadLimit::default();
    let mut seen = Vec::new();
    for round in 0_u64..200 {
        let concurrent_loads = estimate.limit().clamp(workers / 2, workers * 3);
        let slowdown = (concurrent_loads as f64 / true_limit).max(1.0);
        let exact_ms = (load_ms * slowdown) as u64;
        let late_ms = if round % 7 == 0 { 120 } else { round % POLL_MS };
        estimate.record(placement::FinishedLoad { took_ms: exact_ms + late_ms, concurrent_loads });
        if round >= 100 {
            seen.push(estimate.limit());
        }
    }
    seen
}

#[test]
fn the_limit_is_found_in_small_and_large_fleets() {
    for (true_limit, load_ms, workers) in [(8, 250.0, 9), (96, 288.0, 90), (96, 288.0, 140)] {
        let seen = estimates(f64::from(true_limit), load_ms, workers);
        let mean = seen.iter().sum::<usize>() as f64 / seen.len() as f64;
        let (least, most) = (0.7 * f64::from(true_limit), 1.4 * f64::from(true_limit));
        assert!((least..most).contains(&mean), "{true_limit}: mean {mean}, {seen:?}");
    }
}

#[test]
fn copies_at_the_worker_tell_nothing() {
    let mut estimate = placement::ConcurrentLoadLimit::default();
    let before = estimate.clone();
    for _ in 0..10 {
        estimate.record(placement::FinishedLoad { took_ms: 30, concurrent_loads: 200 });
    }
    assert_eq!(estimate, before);
}
