//! Queue of requests that wait to start on an engine.

use indexmap::IndexMap;

use super::{Job, QueueDiscipline, RefusalReason};
use crate::name;

/// Waiting requests in arrival order with the discipline that selects from them.
#[derive(Clone, Debug, Default)]
pub struct Queue<Discipline> {
    jobs: Vec<Job>,
    discipline: Discipline,
}

impl<Discipline> Queue<Discipline>
where
    Discipline: QueueDiscipline,
{
    pub fn new(discipline: Discipline) -> Self {
        Self { jobs: Vec::new(), discipline }
    }

    pub fn discipline(&self) -> &Discipline {
        &self.discipline
    }

    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    pub fn jobs(&self) -> &[Job] {
        &self.jobs
    }

    pub fn contains(&self, request_id: &name::RequestId) -> bool {
        self.jobs.iter().any(|job| job.request_id == *request_id)
    }

    pub fn push(&mut self, job: Job) {
        if !self.jobs.iter().any(|waiting| waiting.team == job.team) {
            self.discipline.team_became_active(&job.team);
        }
        // A request that is requeued after a failed start keeps its arrival order.
        let position = self.jobs.partition_point(|other| other.submitted_ms <= job.submitted_ms);
        self.jobs.insert(position, job);
    }

    /// Removes and returns the next job to start among those that satisfy `is_startable`.
    pub fn take_next<Startable>(&mut self, is_startable: Startable, now_ms: u64) -> Option<Job>
    where
        Startable: Fn(&Job) -> bool,
    {
        let startable = self.jobs.iter().enumerate().filter(|(_, job)| is_startable(job));
        let index = self.discipline.select_next(startable, now_ms)?;
        let job = self.jobs.remove(index);
        self.discipline.record_start(&job);
        Some(job)
    }

    /// Removes a waiting job.
    pub fn remove(&mut self, request_id: &name::RequestId) -> Option<Job> {
        let index = self.jobs.iter().position(|job| job.request_id == *request_id)?;
        Some(self.jobs.remove(index))
    }

    /// Removes the jobs that satisfy `is_selected`.
    pub fn remove_all<Selected>(&mut self, mut is_selected: Selected) -> Vec<Job>
    where
        Selected: FnMut(&Job) -> bool,
    {
        self.jobs.extract_if(.., |job| is_selected(job)).collect()
    }

    /// Selects the waiting job that a new job displaces from a full queue; `None` if the new job is
    /// to be refused instead.
    ///
    /// The least urgent and newest job of the team that exceeds its share most is displaced. A team
    /// above its own share can only displace less urgent jobs of its own.
    pub fn select_displaced(&self, new_job: &Job) -> Option<name::RequestId> {
        let excess = self.excess_by_team(new_job);
        if excess.get(&new_job.team).is_some_and(|excess| *excess > 0.0) {
            let last = self.least_urgent(&new_job.team)?;
            return (last.class > new_job.class).then(|| last.request_id.clone());
        }
        let (team, excess) = excess.iter().max_by(|left, right| left.1.total_cmp(right.1))?;
        if *excess <= 0.0 {
            return None;
        }
        self.least_urgent(team).map(|job| job.request_id.clone())
    }

    /// Returns the refusal reason for a new job that displaces no other.
    pub fn refusal_reason(&self, new_job: &Job) -> RefusalReason {
        let excess = self.excess_by_team(new_job);
        if excess.len() > 1 && excess.get(&new_job.team).is_some_and(|excess| *excess > 0.0) {
            return RefusalReason::AboveShare;
        }
        RefusalReason::QueueFull
    }

    /// Returns by how many jobs each team exceeds its share, counting the new job.
    fn excess_by_team(&self, new_job: &Job) -> IndexMap<name::TeamName, f64> {
        let mut teams = IndexMap::<name::TeamName, (f64, f64)>::new();
        for job in self.jobs.iter().chain([new_job]) {
            let (held, share) = teams.entry(job.team.clone()).or_default();
            *held += 1.0;
            *share = share.max(f64::from(job.share.max(1)));
        }
        let total: f64 = teams.values().map(|(_, share)| share).sum();
        let places = self.jobs.len() as f64;
        let excess = |(held, share): (f64, f64)| held - places * share / total;
        teams.into_iter().map(|(team, entry)| (team, excess(entry))).collect()
    }

    fn least_urgent(&self, team: &name::TeamName) -> Option<&Job> {
        let of_team = self.jobs.iter().filter(|job| job.team == *team);
        of_team.max_by_key(|job| (job.class, job.submitted_ms))
    }
}
