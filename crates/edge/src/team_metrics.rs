//! Metrics of the quotas of teams.

use indexmap::IndexMap;
use jasminetack_domain::name;
use parking_lot::Mutex;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

type TeamLabel = [(&'static str, String); 1];

/// Most teams with a label of their own.
const MAX_LABELS: usize = 64;
/// Label of all further teams.
const OTHER: &str = "other";

/// Metrics of the quotas of teams.
#[derive(Debug, Default)]
pub struct TeamMetrics {
    labels: Mutex<IndexMap<name::TeamName, ()>>,
    allowed: Family<TeamLabel, Counter>,
    refused: Family<TeamLabel, Counter>,
    refunded: Family<TeamLabel, Counter>,
    lent: Family<TeamLabel, Gauge>,
    borrowed: Family<TeamLabel, Gauge>,
}

impl TeamMetrics {
    /// Creates and registers the metrics.
    #[must_use]
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let help = "Tokens charged to the quota of a team";
        registry.register("team_tokens_allowed", help, metrics.allowed.clone());
        let help = "Tokens of requests refused beyond the quota of a team";
        registry.register("team_tokens_refused", help, metrics.refused.clone());
        let help = "Charged tokens returned for requests that no worker executed";
        registry.register("team_tokens_refunded", help, metrics.refunded.clone());
        let help = "Part of a team's rate that the daemon has lent, in parts per million";
        registry.register("team_lent_ppm", help, metrics.lent.clone());
        let help = "Part of a team's rate that the daemon has borrowed, in parts per million";
        registry.register("team_borrowed_ppm", help, metrics.borrowed.clone());
        metrics
    }

    /// Records tokens that were charged.
    pub fn record_allowed(&self, team: &name::TeamName, tokens: u64) {
        self.allowed.get_or_create(&self.label(team)).inc_by(tokens);
    }

    /// Records tokens of a refused request.
    pub fn record_refused(&self, team: &name::TeamName, tokens: u64) {
        self.refused.get_or_create(&self.label(team)).inc_by(tokens);
    }

    /// Records tokens that were returned.
    pub fn record_refunded(&self, team: &name::TeamName, tokens: u64) {
        self.refunded.get_or_create(&self.label(team)).inc_by(tokens);
    }

    /// Sets the parts per million that are lent and borrowed; those of teams without a label of their
    /// own are added up.
    pub fn set_shares<'a, Shares>(&self, shares: Shares)
    where
        Shares: Iterator<Item = (&'a name::TeamName, i64, i64)>,
    {
        let mut other = (0, 0);
        for (team, lent, borrowed) in shares {
            let label = self.label(team);
            if label[0].1 == OTHER {
                other = (other.0 + lent, other.1 + borrowed);
                continue;
            }
            self.lent.get_or_create(&label).set(lent);
            self.borrowed.get_or_create(&label).set(borrowed);
        }
        if other != (0, 0) {
            let label = [("team", OTHER.to_owned())];
            self.lent.get_or_create(&label).set(other.0);
            self.borrowed.get_or_create(&label).set(other.1);
        }
    }

    fn label(&self, team: &name::TeamName) -> TeamLabel {
        let mut labels = self.labels.lock();
        if labels.len() < MAX_LABELS && !labels.contains_key(team) {
            labels.insert(team.clone(), ());
        }
        let label = if labels.contains_key(team) { team.as_str() } else { OTHER };
        [("team", label.to_owned())]
    }
}
