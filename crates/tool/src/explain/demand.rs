//! Tasks that run and wait, by the records of the jobs.

use crate::jobs::State;
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Id,
    Job,
    Progress,
    Resource,
    Step,
    progress::Task,
    replica::Entry, //
};
use std::{
    collections::BTreeMap,
    sync::Arc, //
};

/// Waiting tasks of a job.
#[derive(Clone, Debug)]
pub struct Row {
    /// The job.
    pub id: Id,
    /// Its pool.
    pub pool: Arc<str>,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// When it was submitted.
    pub submitted: Time,
    /// Number of its tasks that wait.
    pub tasks: u64,
}

/// Tasks that run and wait, by the records of the jobs.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Resources that are reserved at each runner.
    pub reserved: BTreeMap<String, Resource>,
    /// What the tasks of each account use, with the processor time of background tasks.
    pub running: BTreeMap<String, Resource>,
    /// Waiting tasks of each account.
    pub waiting: BTreeMap<String, u64>,
    /// Waiting tasks of each job.
    pub rows: Vec<Row>,
}

impl Demand {
    /// Collects the tasks of all jobs that have not ended.
    pub fn new(state: &State, now: Time) -> Self {
        let mut demand = Self::default();
        for (_, entry) in state.replica.jobs() {
            let Some(job) = &entry.job else {
                continue;
            };
            demand.add_runs(entry, job);
            if entry.outcome().is_some() {
                continue;
            }
            let waiting = waiting(entry, job, now);
            if waiting == 0 {
                continue;
            }
            if let Some(account) = &entry.account {
                *demand.waiting.entry(account.to_string()).or_default() += waiting;
            }
            demand.rows.push(Row {
                id: entry.id,
                pool: Arc::clone(&job.policy.pool),
                priority: job.policy.priority,
                submitted: job.submitted,
                tasks: waiting,
            });
        }
        demand
    }

    fn add_runs(&mut self, entry: &Entry, job: &Job) {
        for task in entry.progress.iter().flat_map(|progress| &progress.tasks) {
            let Some(step) = job.steps.get(usize::from(task.position.step)) else {
                continue;
            };
            for assignment in &task.assignments {
                let runner = assignment.runner.to_string();
                *self.reserved.entry(runner).or_default() += step.reserved();
                if let Some(account) = &entry.account {
                    *self.running.entry(account.to_string()).or_default() += step.need;
                }
            }
        }
    }
}

/// Returns the number of tasks of a job that wait for a runner.
fn waiting(entry: &Entry, job: &Job, now: Time) -> u64 {
    let steps = 0..job.steps.len();
    steps.map(|step| waiting_in(entry, job, step, now)).sum()
}

/// Returns the number of tasks of a step that wait for a runner, in all occurrences that are due.
pub(super) fn waiting_in(entry: &Entry, job: &Job, step: usize, now: Time) -> u64 {
    let progress = entry.progress.as_deref();
    let first = progress.map_or(0, |progress| progress.finished);
    let open = u32::try_from(job.open_limit()).unwrap_or(u32::MAX);
    let last = job.occurrences().min(first.saturating_add(open));
    let due = |occurrence: &u32| job.due(*occurrence).is_none_or(|due| now >= due);
    let occurrences = (first..last).take_while(due);
    let counts = occurrences
        .map(|occurrence| waiting_in_step(progress, job, occurrence, step, &job.steps[step]));
    counts.sum()
}

fn waiting_in_step(
    progress: Option<&Progress>,
    job: &Job,
    occurrence: u32,
    number: usize,
    step: &Step,
) -> u64 {
    let count = |number: usize, matches: fn(&Task) -> bool| {
        let tasks = progress.iter().flat_map(|progress| &progress.tasks);
        let tasks = tasks.filter(|task| {
            task.position.occurrence == occurrence && usize::from(task.position.step) == number
        });
        tasks.filter(|task| matches(task)).count() as u64
    };
    let is_done = |before: &u16| {
        let number = usize::from(*before);
        let before = job.steps.get(number);
        before.is_none_or(|before| count(number, |task| task.done) >= u64::from(before.count))
    };
    if !step.after.iter().all(is_done) {
        return 0;
    }
    let taken = count(number, |task| task.done || !task.assignments.is_empty());
    u64::from(step.count).saturating_sub(taken)
}
