//! Faults of the platform.

use serde::{Deserialize, Serialize};

/// Faults of the platform; a field that is left out of `POST /switch` keeps its value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Switches {
    /// Connections are closed without an answer, but for those of the weight store.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outage: Option<bool>,
    /// Connections of the weight store are closed without an answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weights_outage: Option<bool>,
    /// Delay of each answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<u64>,
    /// Writes whose replies are lost after they took effect.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lose_replies: Option<u32>,
    /// Prefix of the written keys to which `lose_replies` is limited; empty for all writes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lose_prefix: Option<String>,
    /// Age of the host list that is shown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host_list_lag_ms: Option<u64>,
}

impl Switches {
    /// Takes over the fields that are given.
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

    /// Tells whether the reply to a write of these keys is lost, and counts it.
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
