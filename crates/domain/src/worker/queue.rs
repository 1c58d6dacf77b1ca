//! Requests that wait for an engine.

use indexmap::IndexMap;

use super::{Job, QueueDiscipline, RefusalReason};
use crate::name;

/// Waiting requests in arrival order and the discipline that picks from them.
#[derive(Clone, Debug, Default)]
pub struct Queue<Order> {
    jobs: Vec<Job>,
    order: Order,
}

impl<Order> Queue<Order>
where
    Order: QueueDiscipline,
{
    pub fn new(order: Order) -> Self {
        Self { jobs: Vec::new(), order }
    }

    pub fn order(&self) -> &Order {
        &self.order
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
            self.order.team_became_active(&job.team);
        }
        // A request that returns from the engine keeps its place by arrival.
        let position = self.jobs.partition_point(|other| other.submitted_ms <= job.submitted_ms);
        self.jobs.insert(position, job);
    }

    /// Takes the job that starts next among those for which `is_startable` holds.
    pub fn take_next<Startable>(&mut self, is_startable: Startable, now_ms: u64) -> Option<Job>
    where
        Startable: Fn(&Job) -> bool,
    {
        let startable = self.jobs.iter().enumerate().filter(|(_, job)| is_startable(job));
        let index = self.order.select_next(startable, now_ms)?;
        let job = self.jobs.remove(index);
        self.order.record_start(&job);
        Some(job)
    }

    /// Removes a job that will not start.
    pub fn remove(&mut self, request_id: &name::RequestId) -> Option<Job> {
        let index = self.jobs.iter().position(|job| job.request_id == *request_id)?;
        Some(self.jobs.remove(index))
    }

    /// Removes the jobs for which `is_taken` holds.
    pub fn remove_all<Taken>(&mut self, mut is_taken: Taken) -> Vec<Job>
    where
        Taken: FnMut(&Job) -> bool,
    {
        self.jobs.extract_if(.., |job| is_taken(job)).collect()
    }

    /// Names a waiting job to refuse in favour of a new one when the queue is full, or `None` when
    /// the new one is to be refused.
    ///
    /// The team that exceeds its share most gives way, with its least urgent and newest job. A team
    /// that exceeds its own share can only replace less urgent work of its own.
    pub fn displaced_by(&self, newcomer: &Job) -> Option<name::RequestId> {
        let excess = self.excess_by_team(newcomer);
        if excess.get(&newcomer.team).is_some_and(|excess| *excess > 0.0) {
            let last = self.least_urgent(&newcomer.team)?;
            return (last.class > newcomer.class).then(|| last.request_id.clone());
        }
        let (team, excess) = excess.iter().max_by(|left, right| left.1.total_cmp(right.1))?;
        if *excess <= 0.0 {
            return None;
        }
        self.least_urgent(team).map(|job| job.request_id.clone())
    }

    /// Returns why a job is refused that displaces none.
    pub fn full_reason(&self, newcomer: &Job) -> RefusalReason {
        let excess = self.excess_by_team(newcomer);
        if excess.len() > 1 && excess.get(&newcomer.team).is_some_and(|excess| *excess > 0.0) {
            return RefusalReason::AboveShare;
        }
        RefusalReason::QueueFull
    }

    /// Jobs that each team holds above its share, the newcomer counted.
    fn excess_by_team(&self, newcomer: &Job) -> IndexMap<name::TeamName, f64> {
        let mut teams = IndexMap::<name::TeamName, (f64, f64)>::new();
        for job in self.jobs.iter().chain([newcomer]) {
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
