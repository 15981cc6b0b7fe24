//! Adding, ranking and finishing of jobs, occurrences, steps and tasks.

use super::{
    Engine,
    engine::Effect, //
};
use crate::{
    account::{
        Slot,
        Standing, //
    },
    job::{
        self,
        ActiveJob,
        Occurrence,
        State,
        StepKey,
        TaskKey,
        run, //
    },
    note::{
        Kind,
        Note, //
    },
    queue::{
        Queue,
        Rank,
        Tier, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Id,
    Job,
    Step,
    progress::Outcome, //
};
use std::{
    collections::VecDeque,
    sync::Arc, //
};

/// Time between two checks of which jobs can still meet their objective.
const TIER_INTERVAL: Duration = Duration::from_millis(100);
/// Percentage of the objective within which a job must be able to end, or else it counts as late. Only half of the
/// remaining estimate is counted, since estimates may be far too high.
const LATE_PERCENT: u32 = 110;
/// Multiple of the objective after which the result of a job has no value.
const OVERDUE_FACTOR: u32 = 3;

impl Engine {
    /// Adds a job that was just submitted.
    pub fn add(&mut self, job: Arc<Job>, now: Time) {
        if self.job_index.contains_key(&job.id) {
            return;
        }
        self.record_demand(&job, now);
        let submitted = job.submitted.min(now);
        let key = self.insert_job(job);
        self.jobs[key].standing = self.take_token(self.jobs[key].account, submitted);
        self.open_due_occurrences(key, now, now);
    }

    /// Cancels a job: none of its tasks starts any more, and its runs are stopped.
    pub fn cancel(&mut self, id: Id, now: Time) {
        let Some(&key) = self.job_index.get(&id) else {
            return;
        };
        if self.jobs[key].outcome.is_none() {
            self.finish_job(key, Outcome::Cancelled, "cancelled", now);
        }
    }

    /// Adds a job without occurrences.
    pub(super) fn insert_job(&mut self, job: Arc<Job>) -> job::Key {
        let queue = self.intern_queue(&job.queue, &job.policy);
        let account = job.account.as_ref();
        let account = account.map(|name| self.intern_account(name));
        if let Some(account) = account.and_then(|key| self.accounts.get_mut(key)) {
            let steps = job.steps.iter();
            steps.for_each(|step| account.record_need(step.need));
        }
        let id = job.id;
        let key = self.jobs.insert(ActiveJob {
            job,
            queue,
            account,
            standing: Standing::Within,
            occurrences: VecDeque::new(),
            next: 0,
            finished: 0,
            begun: false,
            outcome: None,
            dirty: false,
        });
        self.job_index.insert(id, key);
        key
    }

    /// Opens the occurrences of a job that are due at `wall`, the time of day, as far as its open ones leave room. The
    /// others follow in later turns, so that a job with many of them does not delay other jobs.
    pub(super) fn open_due_occurrences(&mut self, key: job::Key, wall: Time, now: Time) {
        while let Some(active) = self.jobs.get_mut(key)
            && active.may_open_next(wall)
        {
            let number = active.next;
            active.next += 1;
            self.open_occurrence(key, number, wall, now);
            self.open_steps(key, number);
        }
    }

    /// Adds the occurrence that follows the last open one of a job. Its tasks are blocked. `wall` is the time of day.
    pub(super) fn open_occurrence(&mut self, key: job::Key, number: u32, wall: Time, now: Time) {
        let active = &mut self.jobs[key];
        let job = &active.job;
        let occurrence = match job.due(number) {
            Some(due) => {
                let mut occurrence = Occurrence::new(job, number, now - wall.since(due));
                // It may be opened long after it was due.
                occurrence.tier = tier(job, &occurrence, &self.queues[active.queue], now);
                occurrence
            }
            None => Occurrence::new(job, number, job.submitted.min(now)),
        };
        active.occurrences.push_back(occurrence);
    }

    /// Makes the tasks of all steps ready whose earlier steps are done.
    pub(super) fn open_steps(&mut self, key: job::Key, number: u32) {
        let Some(active) = self.jobs.get_mut(key) else {
            return;
        };
        if active.outcome.is_some() {
            return;
        }
        let job = Arc::clone(&active.job);
        for step in 0..job.steps.len() {
            let Some(occurrence) = active.occurrence(number) else {
                return;
            };
            if occurrence.steps[step].opened || !active.is_unblocked(occurrence, step) {
                continue;
            }
            if let Some(occurrence) = active.occurrence_mut(number) {
                let state = &mut occurrence.steps[step];
                state.opened = true;
                let first = state.first;
                let count = usize::from(job.steps[step].count);
                for task in &mut occurrence.tasks[first..first + count] {
                    if task.state == State::Blocked {
                        task.state = State::Ready;
                    }
                }
            }
        }
        self.rank_occurrence(key, number);
    }

    /// Adds the ready tasks of an occurrence to the waiting tasks of their pool.
    pub(super) fn rank_occurrence(&mut self, key: job::Key, number: u32) {
        let Some(active) = self.jobs.get(key) else {
            return;
        };
        let queue = &self.queues[active.queue];
        let Some(occurrence) = active.occurrence(number) else {
            return;
        };
        let deadline = deadline(&active.job, queue.stretch, queue.target, occurrence.due);
        let tier = occurrence.tier;
        let (standing, account) = (active.standing, Slot::from(active.account));
        let ready = &mut self.pools[queue.pool].ready;
        for (step, (state, spec)) in occurrence
            .steps
            .iter()
            .zip(active.job.steps.iter())
            .enumerate()
        {
            let class = class(queue.priority, spec);
            for index in 0..spec.count {
                if occurrence.tasks[state.first + usize::from(index)].state == State::Ready {
                    let task = TaskKey {
                        job_key: key,
                        occurrence: number,
                        step: step as u16,
                        index,
                    };
                    ready.insert(Rank {
                        class,
                        standing,
                        tier,
                        deadline,
                        task,
                        account,
                    });
                }
            }
        }
    }

    /// Returns the sort key of a task among the waiting tasks of its pool.
    pub(super) fn rank(&self, task: TaskKey) -> Option<Rank> {
        let active = self.jobs.get(task.job_key)?;
        let queue = &self.queues[active.queue];
        let occurrence = active.occurrence(task.occurrence)?;
        Some(Rank {
            class: class(
                queue.priority,
                active.job.steps.get(usize::from(task.step))?,
            ),
            standing: active.standing,
            tier: occurrence.tier,
            deadline: deadline(&active.job, queue.stretch, queue.target, occurrence.due),
            task,
            account: active.account.into(),
        })
    }

    /// Sorts the waiting tasks of all pools anew.
    pub(super) fn rank_all(&mut self) {
        for pool in self.pools.values_mut() {
            pool.ready.clear();
        }
        let all: Vec<(job::Key, u32)> = self
            .jobs
            .iter()
            .flat_map(|(key, active)| {
                active
                    .occurrences
                    .iter()
                    .map(move |occurrence| (key, occurrence.number))
            })
            .collect();
        for (key, number) in all {
            self.rank_occurrence(key, number);
        }
    }

    /// Ranks jobs that can't meet their objective any more behind those that can.
    pub(super) fn update_tiers(&mut self, now: Time) {
        if now < self.tiers_updated + TIER_INTERVAL {
            return;
        }
        self.tiers_updated = now;
        let mut changed = Vec::new();
        for (key, active) in &self.jobs {
            let queue = &self.queues[active.queue];
            for occurrence in &active.occurrences {
                let tier = tier(&active.job, occurrence, queue, now);
                if tier != occurrence.tier {
                    changed.push((key, occurrence.number, tier));
                }
            }
        }
        for (key, number, tier) in changed {
            self.unrank_occurrence(key, number);
            if let Some(occurrence) = self.jobs[key].occurrence_mut(number) {
                occurrence.tier = tier;
            }
            self.rank_occurrence(key, number);
        }
    }

    /// Removes the ready tasks of an occurrence from the waiting tasks of their pool.
    fn unrank_occurrence(&mut self, key: job::Key, number: u32) {
        let Some(active) = self.jobs.get(key) else {
            return;
        };
        let pool = self.queues[active.queue].pool;
        let mut ranks = Vec::new();
        for (step, spec) in active.job.steps.iter().enumerate() {
            let task = |index| TaskKey {
                job_key: key,
                occurrence: number,
                step: step as u16,
                index,
            };
            ranks.extend((0..spec.count).filter_map(|index| self.rank(task(index))));
        }
        let ready = &mut self.pools[pool].ready;
        for rank in ranks {
            ready.remove(&rank);
        }
    }

    /// Makes an active task ready again once it has no run; a task of a job that has ended becomes blocked.
    pub(super) fn make_ready(&mut self, task: TaskKey) {
        let Some(active) = self.jobs.get_mut(task.job_key) else {
            return;
        };
        let ended = active.outcome.is_some();
        let Some(state) = active.task_mut(task.occurrence, task.step, task.index) else {
            return;
        };
        if state.state != State::Active || !state.runs.is_empty() {
            return;
        }
        if ended {
            state.state = State::Blocked;
            return;
        }
        state.state = State::Ready;
        if let Some(rank) = self.rank(task) {
            let pool = self.queues[self.jobs[task.job_key].queue].pool;
            self.pools[pool].ready.insert(rank);
        }
    }

    /// Removes a task from the waiting tasks of its pool.
    pub(super) fn unrank(&mut self, task: TaskKey) {
        if let Some(rank) = self.rank(task) {
            let pool = self.queues[self.jobs[task.job_key].queue].pool;
            self.pools[pool].ready.remove(&rank);
        }
    }

    /// Marks a task as done and stops its other runs.
    pub(super) fn complete_task(&mut self, task: TaskKey, now: Time) {
        self.unrank(task);
        let Some(active) = self.jobs.get_mut(task.job_key) else {
            return;
        };
        let Some(state) = active.task_mut(task.occurrence, task.step, task.index) else {
            return;
        };
        if state.state == State::Done {
            return;
        }
        state.state = State::Done;
        state.checkpoint = None;
        let other_runs = state.runs.clone();
        if let Some(occurrence) = active.occurrence_mut(task.occurrence) {
            let step = &mut occurrence.steps[usize::from(task.step)];
            step.tasks_left = step.tasks_left.saturating_sub(1);
        }
        self.clear_crashes(task);
        self.mark_dirty(task.job_key);
        for other in other_runs {
            self.stop(other, "task-done", now);
        }
        self.open_steps(task.job_key, task.occurrence);
        self.close_occurrences(task.job_key, now);
    }

    /// Removes occurrences that are done, in order, and ends the job after the last one.
    fn close_occurrences(&mut self, key: job::Key, now: Time) {
        let Some(active) = self.jobs.get_mut(key) else {
            return;
        };
        while active
            .occurrences
            .front()
            .is_some_and(|occurrence| occurrence.number == active.finished && occurrence.is_done())
        {
            // A second run of a speculative task may still be stopping, and the handling of its end needs the
            // occurrence.
            let busy = |task: &job::Task| !task.runs.is_empty();
            if active.occurrences[0].tasks.iter().any(busy) && active.job.occurrences() > 1 {
                break;
            }
            active.finished += 1;
            if active.finished < active.job.occurrences() {
                active.occurrences.pop_front();
            } else {
                break;
            }
        }
        if active.finished >= active.job.occurrences() && active.outcome.is_none() {
            self.finish_job(key, Outcome::Done, "done", now);
        }
    }

    /// Ends a job with an outcome and stops its runs.
    pub(super) fn finish_job(
        &mut self,
        key: job::Key,
        outcome: Outcome,
        reason: &'static str,
        now: Time,
    ) {
        let Some(active) = self.jobs.get_mut(key) else {
            return;
        };
        active.outcome = Some(outcome);
        let job = active.job.id;
        let age = now.since(active.job.submitted);
        let mut ready = Vec::new();
        let mut runs: Vec<run::Key> = Vec::new();
        for occurrence in &mut active.occurrences {
            for (step, state) in occurrence.steps.iter().enumerate() {
                for index in 0..active.job.steps[step].count {
                    let task = &mut occurrence.tasks[state.first + usize::from(index)];
                    runs.extend(&task.runs);
                    if task.state == State::Ready {
                        task.state = State::Blocked;
                        let step = StepKey {
                            job_key: key,
                            occurrence: occurrence.number,
                            step: step as u16,
                        };
                        ready.push(step.task(index));
                    }
                }
            }
        }
        for task in ready {
            self.unrank(task);
        }
        for run in runs {
            self.stop(run, reason, now);
        }
        self.mark_dirty(key);
        self.note(
            Note::new(Kind::JobEnded, reason, now)
                .with_job(job)
                .with_age(age),
        );
    }

    /// Removes a job that has ended, if it has no runs and the log has its latest state.
    pub(super) fn drop_ended(&mut self, key: job::Key) {
        let ended =
            |active: &ActiveJob| active.outcome.is_some() && !active.dirty && !active.has_runs();
        if self.jobs.get(key).is_some_and(ended)
            && let Some(active) = self.jobs.remove(key)
        {
            self.job_index.remove(&active.job.id);
            self.suspicions.retain(|(task, _)| task.job_key != key);
        }
    }

    /// Schedules the removal of a job that has ended for when the log has its state.
    pub(super) fn drop_when_stored(&mut self, key: job::Key) {
        self.effects.push(Effect::Drop(key));
    }
}

/// Returns whether an occurrence can still meet its objective.
fn tier(job: &Job, occurrence: &Occurrence, queue: &Queue, now: Time) -> Tier {
    let left = remaining_estimate(job, occurrence);
    let objective = deadline(job, queue.stretch, queue.target, occurrence.due);
    let span = objective.since(occurrence.due);
    let late_after = occurrence.due + span * LATE_PERCENT / 100;
    let overdue_after = occurrence.due + span * OVERDUE_FACTOR;
    match now + left / 2 {
        end if end <= late_after => Tier::Timely,
        end if end <= overdue_after => Tier::Late,
        _ => Tier::Overdue,
    }
}

/// Returns the length of the critical path through the steps that are not done, by the caller's estimates.
fn remaining_estimate(job: &Job, occurrence: &Occurrence) -> Duration {
    let mut ends = vec![Duration::ZERO; job.steps.len()];
    for (step, spec) in job.steps.iter().enumerate() {
        let before = spec.after.iter().map(|&after| ends[usize::from(after)]);
        let own = match occurrence.steps[step].tasks_left {
            0 => Duration::ZERO,
            _ => spec.estimate,
        };
        ends[step] = before.max().unwrap_or_default() + own;
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Returns the class of a step's tasks: within a priority, long-running tasks come first and background tasks last.
fn class(priority: u8, step: &Step) -> u8 {
    let later = u8::from(!step.long_running) + u8::from(step.uses_spare_cpu);
    priority.saturating_mul(3).saturating_add(later)
}

/// Returns the time by which an occurrence should end.
fn deadline(job: &Job, stretch: u32, target: Duration, due: Time) -> Time {
    due + target + critical_path(job) * stretch / 1_000
}

/// Returns the length of the critical path through all steps, by the caller's estimates.
fn critical_path(job: &Job) -> Duration {
    let mut ends = vec![Duration::ZERO; job.steps.len()];
    for (step, spec) in job.steps.iter().enumerate() {
        let before = spec.after.iter().map(|&after| ends[usize::from(after)]);
        ends[step] = before.max().unwrap_or_default() + spec.estimate;
    }
    ends.into_iter().max().unwrap_or_default()
}
