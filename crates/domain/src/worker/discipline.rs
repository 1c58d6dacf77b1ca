//! Order in which waiting requests start.

use indexmap::IndexMap;

use super::Job;
use crate::name;
use crate::request;

/// Order in which waiting requests start.
pub trait QueueDiscipline {
    /// Chooses among the jobs that could start now, given with their positions in arrival order.
    fn select_next<'a, Jobs>(&self, startable: Jobs, now_ms: u64) -> Option<usize>
    where
        Jobs: Iterator<Item = (usize, &'a Job)>;

    /// Notes that a team without waiting jobs has one again.
    fn team_became_active(&mut self, team: &name::TeamName);

    /// Notes that a job starts.
    fn record_start(&mut self, job: &Job);

    /// Returns how many batch places long work may hold.
    fn max_long_running(&self, batch_places: usize) -> usize;

    /// Returns the priority that the engine is given; lower runs first.
    fn engine_priority(&self, class: request::Class) -> Option<i32>;
}

/// Class, then weighted fair virtual time over teams, then the shorter predicted cost with aging.
#[derive(Clone, Debug, Default)]
pub struct WeightedFair {
    /// Virtual start time of each team's next job.
    teams: IndexMap<name::TeamName, f64>,
    virtual_now: f64,
}

impl WeightedFair {
    /// Teams kept before those that are not behind are forgotten.
    const MAX_TEAMS: usize = 1_024;

    fn virtual_time(&self, team: &name::TeamName) -> f64 {
        self.teams.get(team).copied().unwrap_or(self.virtual_now)
    }
}

impl QueueDiscipline for WeightedFair {
    fn select_next<'a, Jobs>(&self, startable: Jobs, now_ms: u64) -> Option<usize>
    where
        Jobs: Iterator<Item = (usize, &'a Job)>,
    {
        let mut best: Option<(usize, &Job, (request::Class, f64, f64))> = None;
        for (index, job) in startable {
            let rank =
                (job.aged_class(now_ms), self.virtual_time(&job.team), job.aged_cost(now_ms));
            if best.as_ref().is_none_or(|(_, _, lowest)| rank < *lowest) {
                best = Some((index, job, rank));
            }
        }
        best.map(|(index, _, _)| index)
    }

    fn team_became_active(&mut self, team: &name::TeamName) {
        if self.teams.len() >= Self::MAX_TEAMS {
            let virtual_now = self.virtual_now;
            self.teams.retain(|_, time| *time > virtual_now);
        }
        // An idle team does not save up time that it did not use.
        let time = self.virtual_time(team).max(self.virtual_now);
        self.teams.insert(team.clone(), time);
    }

    fn record_start(&mut self, job: &Job) {
        let time = self.virtual_time(&job.team);
        self.virtual_now = self.virtual_now.max(time);
        let cost = job.cost_tokens.max(1) as f64 / f64::from(job.weight.max(1));
        self.teams.insert(job.team.clone(), time + cost);
    }

    fn max_long_running(&self, batch_places: usize) -> usize {
        (batch_places / 2).max(1)
    }

    fn engine_priority(&self, class: request::Class) -> Option<i32> {
        Some(match class {
            request::Class::Urgent => 0,
            request::Class::Normal => 1,
            request::Class::Bulk => 2,
        })
    }
}

/// Baseline: arrival order.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstInFirstOut;

impl QueueDiscipline for FirstInFirstOut {
    fn select_next<'a, Jobs>(&self, mut startable: Jobs, _now_ms: u64) -> Option<usize>
    where
        Jobs: Iterator<Item = (usize, &'a Job)>,
    {
        startable.next().map(|(index, _)| index)
    }

    fn team_became_active(&mut self, _team: &name::TeamName) {}

    fn record_start(&mut self, _job: &Job) {}

    fn max_long_running(&self, batch_places: usize) -> usize {
        batch_places
    }

    fn engine_priority(&self, _class: request::Class) -> Option<i32> {
        None
    }
}
