//! Tests of when tables are read.

use jasminetack_domain::name;
use jasminetack_edge::control::Freshness;

fn freshness(host: &str) -> Freshness {
    Freshness::new(&name::HostName::from(host), "operator")
}

#[test]
fn a_table_that_nobody_reads_grows_old_however_often_it_is_passed_on() {
    // Two daemons that tell each other the same knowledge, each 50 ms late.
    let mut one = freshness("one");
    let mut other = freshness("other");
    one.read(1_000);
    other.read(1_000);
    for now_ms in (1_000..6_000).step_by(50) {
        let known = one.as_of_store_ms().unwrap();
        other.told(true, known);
        one.told(true, other.as_of_store_ms().unwrap());
        assert_eq!(one.as_of_store_ms(), Some(1_000), "at {now_ms}");
    }
    assert!(one.begin_read(Some(2_800), 2_800));
}

#[test]
fn a_reading_of_another_daemon_saves_the_own() {
    let mut own = freshness("own");
    own.read(1_000);
    own.told(true, 2_500);
    assert!(!own.begin_read(Some(3_000), 3_000));
}

#[test]
fn a_change_that_another_daemon_knows_is_read_at_once() {
    let mut own = freshness("own");
    own.read(1_000);
    own.told(false, 900);
    assert!(!own.begin_read(Some(1_100), 5_000));
    own.told(false, 1_050);
    assert!(own.begin_read(Some(1_100), 5_000));
    assert!(!own.begin_read(Some(1_100), 5_000), "a reading is under way");
}
