//! Injected faults of the platform.

use serde::{Deserialize, Serialize};

/// Injected faults of the platform; fields omitted from `POST /switch` keep their values.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Switches {
    /// Connections are closed without a response, except those to the weight store.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outage: Option<bool>,
    /// Connections to the weight store are closed without a response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weights_outage: Option<bool>,
    /// Delay of each response, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<u64>,
    /// Number of writes whose responses are dropped after they are applied.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lose_replies: Option<u32>,
    /// Key prefix of the writes that `lose_replies` applies to; empty for all writes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lose_prefix: Option<String>,
    /// Staleness of the returned host list, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host_list_lag_ms: Option<u64>,
}

impl Switches {
    /// Overwrites the fields that are set in `given`.
    pub fn merge(&mut self, given: Self) {
        self.outage = given.outage.or(self.outage);
        self.weights_outage = given.weights_outage.or(self.weights_outage);
        self.slow_ms = given.slow_ms.or(self.slow_ms);
        self.lose_replies = given.lose_replies.or(self.lose_replies);
        if given.lose_prefix.is_some() {
            self.lose_prefix = given.lose_prefix;
        }
        self.host_list_lag_ms = given.host_list_lag_ms.or(self.host_list_lag_ms);
    }

    /// Returns whether the response to a write of these keys is dropped, and decrements the count.
    pub fn take_lost_reply<'a, Keys>(&mut self, keys: Keys) -> bool
    where
        Keys: IntoIterator<Item = &'a str>,
    {
        let Some(left @ 1..) = self.lose_replies else {
            return false;
        };
        let prefix = self.lose_prefix.as_deref().unwrap_or_default();
        if !keys.into_iter().any(|key| key.starts_with(prefix)) {
            return false;
        }
        self.lose_replies = Some(left - 1);
        true
    }
}
