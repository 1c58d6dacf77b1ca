//! Tests of concurrency limits shared by several daemons.

use indexmap::IndexMap;
use jasminetack_domain::name;
use jasminetack_domain::quota;
use proptest::prelude::*;

const CEILING: u32 = 3;

fn host(index: usize) -> name::HostName {
    name::HostName::from(format!("e{index}"))
}

/// Guards against a new home that grants permits before live daemons have registered theirs.
#[test]
fn new_home_waits_for_registrations() {
    let mut home = quota::Quota::start(CEILING, [host(0), host(1)], 0);
    home.register(&host(0), 2);
    assert_eq!(home.request(&host(0), 10), quota::Decision::NotReady);
    home.register(&host(1), 1);
    assert_eq!(home.request(&host(0), 11), quota::Decision::Denied);
    home.remove_holder(&host(1));
    assert_eq!(home.request(&host(0), 12), quota::Decision::Granted);
}

/// Guards against a failed daemon blocking a row indefinitely.
#[test]
fn recovery_ends_without_registration_of_a_failed_daemon() {
    let mut home = quota::Quota::start(CEILING, [host(0), host(1)], 0);
    home.register(&host(0), 0);
    assert_eq!(home.request(&host(0), 999), quota::Decision::NotReady);
    assert_eq!(home.request(&host(0), 1_000), quota::Decision::Granted);
}

/// Guards against returning a self-granted permit to a home that did not grant it.
#[test]
fn self_granted_permits_are_not_returned() {
    let mut holder = quota::Holder::default();
    assert!(holder.admit_without_home(8, 4));
    assert!(holder.admit_without_home(8, 4));
    assert!(!holder.admit_without_home(8, 4));
    holder.end(8, 4, 0);
    holder.end(8, 4, 0);
    assert_eq!(holder.expire_idle(10_000), 0);
    assert!(holder.is_empty());
}

proptest! {
    /// Guards against exceeding the ceiling while the home stays the same, and against exceeding
    /// twice the ceiling when the home changes and no permit is registered in time.
    #[test]
    fn ceiling_holds_over_all_daemons(
        steps in prop::collection::vec((0_usize..4, 0_u8..8), 1..200),
    ) {
        let mut now_ms = 0;
        let mut home = quota::Quota::start(CEILING, [], now_ms);
        let mut holders = IndexMap::<usize, (quota::Holder, u32)>::new();
        let mut home_changed = false;
        for (index, action) in steps {
            now_ms += 100;
            let (holder, running) = holders.entry(index).or_default();
            match action {
                0..=3 => {
                    let runs = match holder.begin() {
                        quota::Step::Run => true,
                        quota::Step::RequestFromHome => holder.record_decision(home.request(&host(index), now_ms)),
                    };
                    *running += u32::from(runs);
                }
                4 | 5 if *running > 0 => {
                    holder.end(CEILING, 4, now_ms);
                    *running -= 1;
                }
                6 => {
                    home.release(&host(index), holder.expire_idle(now_ms));
                }
                7 if !home_changed => {
                    home_changed = true;
                    home = quota::Quota::start(CEILING, [], now_ms);
                }
                _ => {}
            }
            let total: u32 = holders.values().map(|(_, running)| running).sum();
            let bound = if home_changed { 2 * CEILING } else { CEILING };
            prop_assert!(total <= bound, "{} running, bound {}", total, bound);
        }
    }
}
