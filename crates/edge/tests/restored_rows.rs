//! Tests of the rows that a daemon writes to a restored store.

#[path = "restores/store.rs"]
mod restored_store;
mod support;

use jasminetack_edge::{control, store};
use restored_store::Store;
use support::{CONFIGURATION_WITH_ENGINES, Daemon};

const TIMES: control::LeaseTimes =
    control::LeaseTimes { ttl_ms: 12_000, renewal_ms: 6_000, guard_ms: 3_000 };
const START_MS: u64 = 1_000_000;

/// A daemon and its store, without any delay between them.
struct Pair {
    daemon: Daemon,
    store: Store,
    now_ms: u64,
    renewals: usize,
}

impl Pair {
    /// Starts a daemon that becomes the holder of a worker; the store keeps a copy from before.
    fn start() -> Self {
        let address = ([127, 0, 1, 1], 7_380).into();
        let daemon = Daemon::start("h0", address, TIMES, START_MS, START_MS);
        let mut pair = Self { daemon, store: Store::new(1), now_ms: START_MS, renewals: 0 };
        pair.list(store::Table::Operator, &[(CONFIGURATION_WITH_ENGINES, vec![1])]);
        pair.list(store::Table::Workers, &[("w1", Vec::new())]);
        pair.run(1_000);
        pair.store.keep_copy(pair.now_ms);
        pair.run(1_000);
        assert_eq!(pair.holder_rows().len(), 1, "the worker was not claimed");
        pair
    }

    /// Has the daemon list a table of the operator or the workers.
    fn list(&mut self, table: store::Table, entries: &[(&str, Vec<u8>)]) {
        let version = self.store.version(1);
        let rows = entries.iter().map(|(key, value)| store::Row {
            key: (*key).to_owned(),
            value: Some(value.clone()),
            version,
        });
        let store_ms = self.store.store_ms(self.now_ms);
        let listing = store::Listing { rows: rows.collect(), version, store_ms };
        let event = control::FeedEvent::Listed(listing);
        let read = control::Message::TableRead(table, event, self.now_ms);
        self.daemon.state.receive(vec![read], self.now_ms);
    }

    /// Lets time pass; the store answers each job at once.
    fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += 10;
            self.daemon.state.tick(self.now_ms);
            for job in self.daemon.take_store_jobs() {
                self.renewals += usize::from(matches!(job, control::StoreJob::Renew(_)));
                let reply = self.store.execute(&job, self.now_ms, self.now_ms);
                let message = control::Message::StoreReply(reply);
                self.daemon.state.receive(vec![message], self.now_ms);
            }
        }
    }

    fn holder_rows(&self) -> Vec<store::Row> {
        self.store.list(store::Table::Holders, self.now_ms).rows
    }

    /// Writes a holder row as another daemon would.
    fn write_holder(&mut self, key: &str, value: &[u8]) {
        let (table, key) = (store::Table::Holders, key.to_owned());
        let writes = vec![store::Write { table, key, value: Some(value.to_vec()) }];
        let transaction = store::Transaction { conditions: Vec::new(), writes };
        self.store.transact(&transaction, self.now_ms);
    }
}

/// Guards against deleting the row of another holder that has the number which a lost row of this daemon had.
#[test]
fn the_row_of_a_worker_that_left_is_not_deleted_by_a_number_from_before_a_restore() {
    let mut pair = Pair::start();
    pair.list(store::Table::Workers, &[]);
    let number = pair.holder_rows()[0].version;
    pair.store.restore(1_000, 0, pair.now_ms);
    assert!(pair.holder_rows().is_empty());
    while pair.store.version(pair.store.number() + 1) % (1 << 40) < number % (1 << 40) {
        pair.write_holder("other", b"");
    }
    pair.write_holder("w1", b"another holder");
    pair.run(20_000);
    assert!(pair.holder_rows().iter().any(|row| row.key == "w1"));
}

/// Guards against renewals without a pause while a row that cannot be read prevents them in a restored store.
#[test]
fn renewals_that_conflict_in_a_restored_store_are_not_repeated_without_a_pause() {
    let mut pair = Pair::start();
    pair.store.restore(1_000, 0, pair.now_ms);
    pair.write_holder("w1", &[0xff]);
    pair.list(store::Table::Operator, &[(CONFIGURATION_WITH_ENGINES, vec![1])]);
    pair.renewals = 0;
    pair.run(2_000);
    assert!((1..=10).contains(&pair.renewals), "{} renewals in 2 s", pair.renewals);
}
