//! Tests of the quarantine of segments on which workers crash.

use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use jasminetack_domain::quarantine;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

const FIRST: u64 = 1;
const SUBJECT: u64 = 20;
const DEADLY: u64 = 666;
/// Subjects of callers, each with a segment of its own.
const SUBJECTS: u64 = 300;
/// Time after which every test expects a decision: the observation time and one crash more.
const DECISION_MS: u64 = 4_000;
/// Time after the fifth crash from which hardly any request with the segment may reach a worker.
const CONTACT_MS: u64 = 4_000;

fn prompt(shared: &[u64]) -> Vec<dispatch::PromptSegment> {
    // The last segment is the request's own.
    let ids = shared.iter().copied().chain([u64::MAX]);
    ids.map(|id| dispatch::PromptSegment { id: id.into(), tokens: 100 }).collect()
}

fn answer(shared: &[u64], started_ms: u64) -> quarantine::SurvivedAnswer {
    quarantine::SurvivedAnswer { segments: prompt(shared).into(), started_ms }
}

fn crash(worker: u64, requests: &[&[u64]]) -> quarantine::WorkerCrash {
    let worker = name::WorkerName::from(format!("w{worker}"));
    let mut crash = quarantine::WorkerCrash::new(worker, 1);
    for shared in requests {
        crash.add_request(&prompt(shared));
    }
    crash
}

fn quarantined(quarantine: &quarantine::Quarantine, now_ms: u64) -> Vec<u64> {
    quarantine.active(now_ms).map(|(segment, _)| segment.into()).collect()
}

/// Crashes of four workers at one request each with the deadly segment, 400 ms apart from `from_ms` on.
fn record_deadly_crashes(quarantine: &mut quarantine::Quarantine, from_ms: u64) {
    for index in 0..4 {
        let requests: [&[u64]; 2] = [&[FIRST, SUBJECT, DEADLY], &[FIRST, 30 + index]];
        quarantine.record_crash(&crash(index, &requests), from_ms + 400 * index);
    }
}

#[test]
fn the_segment_that_all_crashed_workers_had_in_common_is_quarantined() {
    let mut quarantine = quarantine::Quarantine::default();
    record_deadly_crashes(&mut quarantine, 1_000);
    assert_eq!(quarantine.update(2_900), []);
    let changes = quarantine.update(1_000 + DECISION_MS);
    let segment = dispatch::SegmentId::from(DEADLY);
    assert_eq!(changes, [quarantine::SegmentChange::Quarantined { segment, crashes: 4 }]);
    assert_eq!(quarantined(&quarantine, 1_000 + DECISION_MS), [DEADLY]);
}

#[test]
fn segments_with_surviving_answers_are_not_quarantined_with_the_deadly_one() {
    let mut quarantine = quarantine::Quarantine::default();
    for now_ms in [100, 200, 300] {
        quarantine.record_answer(&answer(&[FIRST, SUBJECT], now_ms), now_ms + 1_500);
    }
    record_deadly_crashes(&mut quarantine, 2_000);
    // Requests of the same caller and beginning survive on other workers.
    for now_ms in [2_100, 2_700, 3_200] {
        quarantine.record_answer(&answer(&[FIRST, SUBJECT], now_ms), now_ms + 1_100);
    }
    quarantine.update(2_000 + DECISION_MS);
    assert_eq!(quarantined(&quarantine, 2_000 + DECISION_MS), [DEADLY]);
}

#[test]
fn workers_that_crash_at_once_quarantine_nothing() {
    let mut quarantine = quarantine::Quarantine::default();
    for index in 0..20 {
        quarantine.record_crash(&crash(index, &[&[FIRST, SUBJECT]]), 1_000 + 5 * index);
    }
    assert_eq!(quarantine.update(1_000 + DECISION_MS), []);
}

#[test]
fn workers_that_crash_one_after_the_other_do_not_quarantine_what_was_answered_before() {
    // Every worker crashes for a reason of its own, so that nothing is answered for a while.
    let mut quarantine = quarantine::Quarantine::default();
    quarantine.record_answer(&answer(&[FIRST, SUBJECT], 100), 1_500);
    for index in 0..8 {
        quarantine.record_crash(&crash(index, &[&[FIRST, SUBJECT]]), 2_000 + 400 * index);
    }
    assert_eq!(quarantine.update(10_000), []);
}

#[test]
fn a_segment_that_became_deadly_is_quarantined_while_other_requests_are_answered() {
    let mut quarantine = quarantine::Quarantine::default();
    quarantine.record_answer(&answer(&[FIRST, DEADLY], 100), 1_500);
    record_deadly_crashes(&mut quarantine, 2_000);
    for now_ms in (2_100..3_300).step_by(100) {
        quarantine.record_answer(&answer(&[FIRST, SUBJECT], now_ms), now_ms + 1_100);
    }
    quarantine.update(2_000 + DECISION_MS);
    assert_eq!(quarantined(&quarantine, 2_000 + DECISION_MS), [DEADLY]);
}

#[test]
fn reports_of_several_daemons_on_one_crash_count_once() {
    let mut quarantine = quarantine::Quarantine::default();
    for now_ms in [1_000, 1_400, 1_800, 2_200] {
        quarantine.record_crash(&crash(7, &[&[FIRST, DEADLY]]), now_ms);
    }
    assert_eq!(quarantine.update(1_000 + DECISION_MS), []);
}

#[test]
fn a_worker_that_crashes_again_before_its_restart_is_known_counts_again() {
    let mut quarantine = quarantine::Quarantine::default();
    for now_ms in [1_000, 4_000, 7_000, 10_000] {
        quarantine.record_crash(&crash(7, &[&[FIRST, DEADLY]]), now_ms);
    }
    quarantine.update(10_000 + DECISION_MS);
    assert_eq!(quarantined(&quarantine, 10_000 + DECISION_MS), [DEADLY]);
}

#[test]
fn crashes_that_come_faster_than_they_are_kept_are_decided_in_time() {
    let mut quarantine = quarantine::Quarantine::default();
    for index in 0..800 {
        let now_ms = 1_000 + 5 * index;
        quarantine.record_crash(&crash(index, &[&[FIRST, DEADLY]]), now_ms);
        quarantine.update(now_ms);
    }
    assert_eq!(quarantined(&quarantine, 1_000 + DECISION_MS), [DEADLY]);
}

#[test]
fn a_surviving_answer_ends_a_quarantine_and_refutes_that_of_another_daemon() {
    let mut quarantine = quarantine::Quarantine::default();
    record_deadly_crashes(&mut quarantine, 1_000);
    quarantine.update(1_000 + DECISION_MS);
    let segment = dispatch::SegmentId::from(DEADLY);
    let reported = quarantine.active(6_000).next().expect("a verdict").1.to_peers(6_000);
    let changes = quarantine.record_answer(&answer(&[FIRST, DEADLY], 5_500), 6_500);
    assert_eq!(changes, [quarantine::SegmentChange::Cleared(segment)]);
    assert_eq!(quarantine.apply_verdict(segment, reported, 6_600), None);
    assert!(quarantine.clearances().any(|(cleared, _)| cleared == segment));
    assert!(quarantined(&quarantine, 6_600).is_empty());
}

#[test]
fn a_cleared_segment_is_not_quarantined_again_by_reports_that_are_delayed() {
    // Two daemons: one has decided and does not learn of the answer, the other one has the answer. Delays
    // of datagrams shift the reported time of the first crash.
    let mut quarantine = quarantine::Quarantine::default();
    let segment = dispatch::SegmentId::from(DEADLY);
    let mut changes = 0;
    for round in 0..50 {
        let now_ms = 10_000 + 200 * round;
        let verdict = quarantine::PeerVerdict {
            first_crash_age_ms: now_ms - 8_000 - 40 * (round % 3),
            remaining_ms: 100_000,
            duration_ms: 120_000,
        };
        changes += usize::from(quarantine.apply_verdict(segment, verdict, now_ms).is_some());
        let started_ms = 8_000 + 30 * (round % 5);
        changes += usize::from(quarantine.clear(segment, started_ms, now_ms + 100).is_some());
    }
    assert!(changes <= 2, "{changes} changes");
}

#[test]
fn a_daemon_that_saw_no_crash_follows_the_verdict_and_the_clearance_of_others() {
    let mut decided = quarantine::Quarantine::default();
    record_deadly_crashes(&mut decided, 1_000);
    decided.update(1_000 + DECISION_MS);
    let reported = decided.active(5_100).next().expect("a verdict").1.to_peers(5_100);
    let mut told = quarantine::Quarantine::default();
    let segment = dispatch::SegmentId::from(DEADLY);
    assert!(told.apply_verdict(segment, reported, 90_000).is_some());
    assert_eq!(told.apply_verdict(segment, reported, 90_200), None);
    assert_eq!(quarantined(&told, 90_300), [DEADLY]);
    assert!(told.clear(segment, 90_400, 91_500).is_some());
    assert!(quarantined(&told, 91_500).is_empty());
}

#[test]
fn after_its_quarantine_one_more_crash_renews_it_for_longer() {
    let mut quarantine = quarantine::Quarantine::default();
    record_deadly_crashes(&mut quarantine, 1_000);
    quarantine.update(1_000 + DECISION_MS);
    let (_, first) = quarantine.active(5_000).next().expect("a verdict");
    let first = *first;
    assert_eq!(quarantine.update(first.until_ms), []);
    assert!(quarantined(&quarantine, first.until_ms).is_empty());
    quarantine.record_crash(&crash(9, &[&[FIRST, DEADLY]]), first.until_ms + 100);
    quarantine.update(first.until_ms + 200);
    let (_, second) = quarantine.active(first.until_ms + 200).next().expect("a verdict");
    assert!(second.duration_ms > first.duration_ms);
    let over_ms = second.until_ms + second.duration_ms;
    let released = quarantine::SegmentChange::Released(DEADLY.into());
    assert_eq!(quarantine.update(over_ms), [released]);
}

/// One run of a fleet whose workers crash on a segment; returns the quarantined segments and the times at
/// which requests with the deadly one reached a worker.
///
/// Each of `WORKERS` workers that is up gets a request every 40 ms; one of `DEADLY_SHARE` has the deadly
/// segment. All requests that started within the last 600 ms on a crashed worker are suspects. It
/// is back after 3 s.
fn replay(seed: u64, deadly_share: u64) -> (Vec<u64>, Vec<u64>) {
    const WORKERS: usize = 9;
    const TICK_MS: u64 = 100;
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut quarantine = quarantine::Quarantine::default();
    let mut up_from_ms = [0; WORKERS];
    let mut running: Vec<(usize, u64, Vec<u64>)> = Vec::new();
    let mut deadly_ms = Vec::new();
    for now_ms in (4_000..16_000).step_by(5) {
        running.retain(|(_, started_ms, shared)| {
            let has_survived = now_ms >= started_ms + quarantine::ONSET_MS;
            if has_survived {
                quarantine.record_answer(&answer(shared, *started_ms), now_ms);
            }
            !has_survived
        });
        if now_ms % TICK_MS == 0 {
            quarantine.update(now_ms);
        }
        for (worker, up_ms) in up_from_ms.iter_mut().enumerate() {
            if now_ms < *up_ms || random.next_u64() % 8 > 0 {
                continue;
            }
            let mut shared =
                vec![FIRST + random.next_u64() % 3, 100 + random.next_u64() % SUBJECTS];
            let is_deadly = now_ms > 6_000 && random.next_u64() % deadly_share == 0;
            if is_deadly && quarantined(&quarantine, now_ms).contains(&DEADLY) {
                continue;
            }
            if is_deadly {
                shared = vec![FIRST, 100, DEADLY];
            }
            running.push((worker, now_ms, shared));
            if !is_deadly {
                continue;
            }
            deadly_ms.push(now_ms);
            *up_ms = now_ms + 3_000;
            let of_worker = running
                .iter()
                .filter(|(on, started_ms, _)| *on == worker && now_ms - started_ms < 600);
            let requests: Vec<&[u64]> = of_worker.map(|(.., shared)| shared.as_slice()).collect();
            let mut seen = crash(worker as u64, &requests);
            seen.started_unix_ms = now_ms;
            quarantine.record_crash(&seen, now_ms);
            running.retain(|(on, ..)| *on != worker);
        }
    }
    (quarantined(&quarantine, 16_000), deadly_ms)
}

#[test]
fn only_the_deadly_segment_is_quarantined_at_any_share_of_its_requests() {
    for seed in 0..40 {
        for deadly_share in [3, 20, 80] {
            let (segments, deadly_ms) = replay(seed, deadly_share);
            assert_eq!(segments, [DEADLY], "seed {seed}, one in {deadly_share}");
            let Some(fifth_ms) = deadly_ms.get(4) else { continue };
            let late = deadly_ms.iter().filter(|at_ms| **at_ms > fifth_ms + CONTACT_MS);
            assert!(late.count() <= 3, "seed {seed}, one in {deadly_share}: {deadly_ms:?}");
        }
    }
}

/// Workers that crash in groups for reasons of their own while hardly any answer survives; returns the
/// quarantined segments.
///
/// Each crashed worker had `REQUESTS` requests: the first segment is one of three, the second one of
/// `SUBJECTS`.
fn replay_other_causes(seed: u64) -> Vec<u64> {
    const REQUESTS: usize = 6;
    const GROUPS_MS: [u64; 7] = [3_000, 4_000, 5_000, 6_500, 8_000, 9_000, 12_000];
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut quarantine = quarantine::Quarantine::default();
    let mut request = || [FIRST + random.next_u64() % 3, 100 + random.next_u64() % SUBJECTS];
    for now_ms in (2_000..20_000).step_by(100) {
        if now_ms % 500 == 0 {
            quarantine.record_answer(&answer(&request(), now_ms - 1_200), now_ms);
        }
        if GROUPS_MS.contains(&now_ms) {
            for worker in 0..5 {
                let requests: Vec<_> = (0..REQUESTS).map(|_| request()).collect();
                let requests: Vec<&[u64]> = requests.iter().map(<[u64; 2]>::as_slice).collect();
                let mut seen = crash(worker, &requests);
                seen.started_unix_ms = now_ms;
                quarantine.record_crash(&seen, now_ms);
            }
        }
        quarantine.update(now_ms);
    }
    quarantined(&quarantine, 20_000)
}

#[test]
fn crashes_of_other_causes_quarantine_nothing() {
    for seed in 0..40 {
        assert_eq!(replay_other_causes(seed), [0; 0], "seed {seed}");
    }
}
