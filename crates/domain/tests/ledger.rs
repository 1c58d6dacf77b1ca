//! Tests of the permit ledgers of several daemons that share one row.

use indexmap::{IndexMap, IndexSet};
use jasminetack_domain::name;
use jasminetack_domain::quota;
use jasminetack_domain::table;
use proptest::prelude::*;

const CEILING: u32 = 3;
const DAEMONS: usize = 3;

struct Fleet {
    ledgers: IndexMap<name::HostName, quota::Ledger>,
    running: IndexMap<name::HostName, u32>,
    row: table::RowKey,
    now_ms: u64,
}

impl Fleet {
    fn start() -> Self {
        let hosts: IndexSet<_> =
            (0..DAEMONS).map(|index| name::HostName::from(format!("e{index}"))).collect();
        let mut ledgers = IndexMap::new();
        for host in &hosts {
            let mut ledger = quota::Ledger::new(host.clone());
            ledger.update_members(hosts.clone(), IndexSet::new(), 0);
            ledgers.insert(host.clone(), ledger);
        }
        let running = hosts.into_iter().map(|host| (host, 0)).collect();
        let row = table::RowKey::new(table::RowKind::Team, "desk");
        Self { ledgers, running, row, now_ms: 5_000 }
    }

    fn send(&mut self, from: &name::HostName, message: &quota::PermitMessage) -> quota::Decision {
        let Some(home) = self.ledgers.get_mut(&message.home) else {
            return quota::Decision::Denied;
        };
        home.decide(from, &message.row, message.action, Some(CEILING), self.now_ms)
    }

    fn begin(&mut self, host: &name::HostName) -> bool {
        let row = self.row.clone();
        let Some(ledger) = self.ledgers.get_mut(host) else { return false };
        let runs = match ledger.start(&row, CEILING, self.now_ms) {
            quota::Start::Run => true,
            quota::Start::Denied | quota::Start::NotReady => false,
            quota::Start::RequestFromHome(message) => {
                let decision = self.send(host, &message);
                self.ledgers[host].record_decision(&row, decision)
            }
        };
        self.running[host] += u32::from(runs);
        runs
    }

    fn end(&mut self, host: &name::HostName) {
        if self.running.get(host).is_none_or(|running| *running == 0) {
            return;
        }
        self.running[host] -= 1;
        let row = self.row.clone();
        self.ledgers[host].end(&row, self.now_ms);
    }

    fn maintain(&mut self) {
        let hosts: Vec<_> = self.ledgers.keys().cloned().collect();
        for host in hosts {
            for message in self.ledgers[&host].maintain(self.now_ms) {
                self.send(&host, &message);
            }
        }
    }

    fn fail(&mut self, host: &name::HostName) {
        self.ledgers.shift_remove(host);
        self.running.shift_remove(host);
        let live: IndexSet<_> = self.ledgers.keys().cloned().collect();
        for ledger in self.ledgers.values_mut() {
            ledger.update_members(live.clone(), IndexSet::new(), self.now_ms);
        }
    }

    fn total(&self) -> u32 {
        self.running.values().sum()
    }
}

/// Guards against losing the permits of a failed daemon, and against a new home that ignores
/// registered permits and grants the whole ceiling again.
#[test]
fn ceiling_holds_after_the_home_fails() {
    for index in 0..DAEMONS {
        let mut fleet = Fleet::start();
        let hosts: Vec<_> = fleet.ledgers.keys().cloned().collect();
        for host in &hosts {
            assert!(fleet.begin(host));
        }
        fleet.fail(&hosts[index]);
        fleet.maintain();
        fleet.now_ms += 1_000;
        let survivor = &hosts[(index + 1) % DAEMONS];
        assert!(fleet.begin(survivor), "the failed daemon's permit must be reclaimed");
        assert!(!fleet.begin(survivor), "the survivors' permits must be registered");
        assert_eq!(fleet.total(), CEILING);
    }
}

/// Guards against permits that stay in use after their requests have ended.
#[test]
fn permits_are_returned_after_their_requests_end() {
    let mut fleet = Fleet::start();
    let hosts: Vec<_> = fleet.ledgers.keys().cloned().collect();
    for _ in 0..3 {
        for _ in 0..CEILING {
            assert!(fleet.begin(&hosts[0]));
        }
        assert!(!fleet.begin(&hosts[1]));
        for _ in 0..CEILING {
            fleet.end(&hosts[0]);
        }
        fleet.maintain();
    }
    fleet.now_ms += 1_000;
    fleet.maintain();
    assert!(fleet.ledgers.values().all(quota::Ledger::is_idle));
}

proptest! {
    /// Guards against exceeding the ceiling in any sequence of starts, ends, maintenance and daemon
    /// failures, provided that holders register within the recovery window.
    #[test]
    fn ceiling_holds(steps in prop::collection::vec((0..DAEMONS, 0_u8..20), 1..300)) {
        let mut fleet = Fleet::start();
        let hosts: Vec<_> = fleet.ledgers.keys().cloned().collect();
        for (index, action) in steps {
            fleet.now_ms += 50;
            match action {
                0..=8 => {
                    fleet.begin(&hosts[index]);
                }
                9..=14 => fleet.end(&hosts[index]),
                15..=18 => fleet.maintain(),
                _ if fleet.ledgers.len() > 1 => {
                    fleet.fail(&hosts[index]);
                    fleet.maintain();
                }
                _ => {}
            }
            prop_assert!(fleet.total() <= CEILING);
        }
    }
}
