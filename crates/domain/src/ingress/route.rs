//! One route of the callers' side.

use super::{RequestKind, Share};
use crate::name;

/// Requests of one host below one path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: name::RouteName,
    /// Beginning of the paths; ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time that a caller is kept waiting.
    pub timeout_ms: u64,
    /// Time within which an answer should begin.
    pub goal_ms: u64,
    /// Rank of the route; 0 is the most urgent.
    pub priority: u8,
    /// Workers to which one request may be sent.
    pub max_attempts: u32,
    /// Services that share the requests; never empty.
    pub shares: Vec<Share>,
}

impl Route {
    /// Chooses the service of a request; `draw` is a random number.
    #[must_use]
    pub fn service(&self, draw: u64) -> Option<&name::ServiceName> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        if total == 0 {
            return self.shares.first().map(|share| &share.service);
        }
        let mut position = draw % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if position < weight {
                return Some(&share.service);
            }
            position -= weight;
        }
        None
    }
}
