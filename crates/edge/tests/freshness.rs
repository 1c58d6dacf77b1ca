//! Tests of when tables are read.

use jasminetack_domain::name;
use jasminetack_edge::control::Freshness;

/// Time by which the daemons of a region differ.
const MAX_JITTER_MS: u64 = 500;
/// Time within which news is read in a region of three.
const SMALL_REGION_MS: u64 = 150;

fn freshness(host: &str) -> Freshness {
    Freshness::new(&name::HostName::from(host), "operator")
}

#[test]
fn a_table_that_nobody_reads_grows_old_however_often_it_is_passed_on() {
    // Two daemons that tell each other the same knowledge, each 50 ms late.
    let mut one = freshness("one");
    let mut other = freshness("other");
    one.record_read(1_000);
    other.record_read(1_000);
    for now_ms in (1_000..6_000).step_by(50) {
        let known = one.as_of_store_ms().unwrap();
        other.apply_peer_state(true, known, 2, now_ms);
        one.apply_peer_state(true, other.as_of_store_ms().unwrap(), 2, now_ms);
        assert_eq!(one.as_of_store_ms(), Some(1_000), "at {now_ms}");
    }
    assert!(one.begin_read(Some(2_800), 2_800));
}

#[test]
fn a_reading_of_another_daemon_saves_the_own() {
    let mut own = freshness("own");
    own.record_read(1_000);
    own.apply_peer_state(true, 2_500, 3, 2_500);
    assert!(!own.begin_read(Some(3_000), 3_000));
}

#[test]
fn a_change_that_another_daemon_knows_is_read_before_the_table_is_old() {
    let mut own = freshness("own");
    own.record_read(1_000);
    own.apply_peer_state(false, 900, 3, 5_000);
    assert!(!own.begin_read(Some(1_100), 5_000 + SMALL_REGION_MS));
    own.apply_peer_state(false, 1_050, 3, 5_000);
    assert!(own.begin_read(Some(1_100), 5_000 + SMALL_REGION_MS));
    assert!(!own.begin_read(Some(1_100), 5_000 + SMALL_REGION_MS), "a reading is under way");
}

#[test]
fn a_change_is_read_once_in_a_region() {
    const DAEMONS: usize = 30;
    let mut region: Vec<_> =
        (0..DAEMONS).map(|index| freshness(&format!("daemon-{index}"))).collect();
    for daemon in &mut region {
        daemon.record_read(1_000);
        daemon.apply_peer_state(false, 1_050, DAEMONS, 5_000);
    }
    let mut readings = 0;
    for now_ms in (5_000..5_000 + MAX_JITTER_MS).step_by(5) {
        let mut reader = None;
        for (index, daemon) in region.iter_mut().enumerate() {
            if daemon.begin_read(Some(1_100), now_ms) {
                readings += 1;
                reader = Some(index);
            }
        }
        if reader.is_some() {
            for daemon in &mut region {
                daemon.record_read(1_060);
            }
        }
    }
    assert!((1..=3).contains(&readings), "{readings} readings");
}

#[test]
fn a_region_whose_store_is_away_asks_for_it_often_but_not_with_every_daemon() {
    const OUTAGE_MS: u64 = 10_000;
    for daemons in [3, 30] {
        let mut region: Vec<_> =
            (0..daemons).map(|index| freshness(&format!("daemon-{index}"))).collect();
        let mut asked_ms = Vec::new();
        for now_ms in (0..OUTAGE_MS).step_by(10) {
            for daemon in &mut region {
                if daemon.begin_read(None, now_ms) {
                    daemon.record_failure(daemons, now_ms);
                    asked_ms.push(now_ms);
                }
            }
        }
        let late: Vec<_> = asked_ms.iter().copied().filter(|at_ms| *at_ms > 4_000).collect();
        let longest = late.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap();
        assert!(longest <= 1_000, "{daemons} daemons: nobody asked for {longest} ms");
        assert!(late.len() <= 80, "{daemons} daemons asked {} times in 6 s", late.len());
    }
}
