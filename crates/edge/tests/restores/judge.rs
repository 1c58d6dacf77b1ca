//! Check of the calls that workers get from their holders.

use std::collections::BTreeMap;

/// Calls to workers, as each worker sees them.
#[derive(Default)]
pub struct Judge {
    /// Host, fencing token and time of the last call, by worker.
    last: BTreeMap<String, (String, u64, u64)>,
    guard_ms: u64,
    pub problems: Vec<String>,
    pub calls: usize,
}

impl Judge {
    pub fn new(guard_ms: u64) -> Self {
        Self { guard_ms, ..Self::default() }
    }

    /// Records a call of a host to a worker.
    pub fn record(&mut self, worker: &str, host: &str, token: u64, now_ms: u64) {
        self.calls += 1;
        let call = (host.to_owned(), token, now_ms);
        let Some((last_host, last_token, last_ms)) = self.last.insert(worker.to_owned(), call)
        else {
            return;
        };
        if token < last_token {
            let problem = format!("{worker}: token {token} of {host} after {last_token}");
            self.problems.push(format!("{problem} of {last_host} at {now_ms}"));
        }
        if last_host != host && token == last_token {
            self.problems.push(format!("{worker}: token {token} of {host} and {last_host}"));
        }
        if last_host != host && now_ms < last_ms + self.guard_ms {
            let pause_ms = now_ms - last_ms;
            let problem = format!("{worker}: {host} {pause_ms} ms after {last_host}");
            self.problems.push(format!("{problem} at {now_ms}"));
        }
    }

    /// Returns the time of the last call to a worker.
    pub fn last_call_ms(&self, worker: &str) -> Option<u64> {
        self.last.get(worker).map(|(_, _, at_ms)| *at_ms)
    }
}
