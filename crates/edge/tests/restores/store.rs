//! Store that is restored from older copies of itself.

#![allow(dead_code)]

use std::collections::BTreeMap;

use jasminetack_domain::store_version::StoreVersion;
use jasminetack_edge::{control, store};

/// Age up to which copies are kept.
const MAX_COPY_AGE_MS: u64 = 15_000;

/// Rows by table and key, with the numbers of the transactions that wrote them.
#[derive(Clone, Default)]
struct Contents {
    rows: BTreeMap<(&'static str, String), (Vec<u8>, u64)>,
    number: u64,
}

/// Store that is restored from older copies of itself.
#[derive(Default)]
pub struct Store {
    contents: Contents,
    era: u64,
    copies: Vec<(u64, Contents)>,
    /// By how much the clock of the store is behind because of restores.
    lag_ms: u64,
}

impl Store {
    pub fn new(era: u64) -> Self {
        Self { era, ..Self::default() }
    }

    pub fn store_ms(&self, now_ms: u64) -> u64 {
        now_ms + 60_000 - self.lag_ms
    }

    /// Keeps a copy of the present contents.
    pub fn keep_copy(&mut self, now_ms: u64) {
        self.copies.retain(|(at_ms, _)| at_ms + MAX_COPY_AGE_MS >= now_ms);
        self.copies.push((now_ms, self.contents.clone()));
    }

    /// Restores the store from a copy of at least an age, unless there is none.
    pub fn restore(&mut self, age_ms: u64, lag_ms: u64, now_ms: u64) {
        let copy = self.copies.iter().rfind(|(at_ms, _)| at_ms + age_ms <= now_ms);
        let Some((_, contents)) = copy.cloned() else { return };
        self.contents = contents;
        self.era += 1;
        self.lag_ms += lag_ms;
    }

    pub fn list(&self, table: store::Table, now_ms: u64) -> store::Listing {
        let rows = self.contents.rows.iter().filter(|((name, _), _)| *name == table.as_str());
        let rows = rows.map(|((_, key), (value, number))| store::Row {
            key: key.clone(),
            value: Some(value.clone()),
            version: self.version(*number),
        });
        store::Listing {
            rows: rows.collect(),
            version: self.version(self.contents.number),
            store_ms: self.store_ms(now_ms),
        }
    }

    pub fn transact(&mut self, transaction: &store::Transaction, now_ms: u64) -> store::Outcome {
        let mut current = Vec::new();
        let mut holds = true;
        for condition in &transaction.conditions {
            let row = (condition.table.as_str(), condition.key.clone());
            let known = self.contents.rows.get(&row);
            let required = StoreVersion::from(condition.version).number();
            holds &= known.map_or(0, |(_, number)| *number) == required;
            if let Some((value, number)) = known {
                let (value, version) = (Some(value.clone()), self.version(*number));
                current.push(store::Row { key: condition.key.clone(), value, version });
            }
        }
        if !holds {
            return store::Outcome::Conflict(current);
        }
        self.contents.number += 1;
        for write in &transaction.writes {
            let row = (write.table.as_str(), write.key.clone());
            match &write.value {
                Some(value) => {
                    self.contents.rows.insert(row, (value.clone(), self.contents.number));
                }
                None => {
                    self.contents.rows.remove(&row);
                }
            }
        }
        let (version, store_ms) = (self.version(self.contents.number), self.store_ms(now_ms));
        store::Outcome::Committed { version, store_ms }
    }

    /// Executes a job of the writer.
    pub fn execute(
        &mut self,
        job: &control::StoreJob,
        sent_ms: u64,
        now_ms: u64,
    ) -> control::StoreReply {
        match job {
            control::StoreJob::ReadRows => control::StoreReply::Rows {
                leases: Ok(self.list(store::Table::Leases, now_ms)),
                holders: Ok(self.list(store::Table::Holders, now_ms)),
                sent_ms,
            },
            control::StoreJob::Renew(transaction) => {
                control::StoreReply::Renewed(Ok(self.transact(transaction, now_ms)), sent_ms)
            }
            control::StoreJob::Claim { worker, era, transaction } => {
                let outcome = self.transact(transaction, now_ms);
                control::StoreReply::Claimed(worker.clone(), *era, Ok(outcome))
            }
            control::StoreJob::Write(transaction) => {
                control::StoreReply::Written(Ok(self.transact(transaction, now_ms)))
            }
            control::StoreJob::Quarantine(_) => {
                let listing = self.list(store::Table::Quarantine, now_ms);
                let reply = control::QuarantineReply::Rows(Ok(listing), sent_ms);
                control::StoreReply::Quarantine(reply)
            }
        }
    }

    /// Returns the number of the last transaction.
    pub fn number(&self) -> u64 {
        self.contents.number
    }

    pub fn version(&self, number: u64) -> u64 {
        StoreVersion::new(self.era, number).as_u64()
    }
}
