//! Jobs, occurrences and steps that may run.

use super::{
    Engine,
    engine::Effect, //
};
use crate::{
    note::{
        Kind,
        Note, //
    },
    queue::{
        Rank,
        Tier, //
    },
    work::{
        self,
        Occurrence,
        State,
        StepKey,
        TaskKey,
        Work,
        run, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Id,
    Job,
    Step,
    progress::Outcome, //
};
use std::sync::Arc;

/// Time between two looks at which jobs can still meet their objective.
const TIER_INTERVAL: Duration = Duration::from_millis(100);
/// Part of the objective, in percent, at which a job counts as late if half of its remaining estimate does not fit. It
/// leaves room for estimates that are far off.
const HOPELESS: u32 = 110;
/// Multiple of the objective after which the end of a job is worth nothing.
const LATE_FACTOR: u32 = 3;

impl Engine {
    /// Takes a job of which nothing has been ordered.
    pub fn add(&mut self, job: Arc<Job>, now: Time) {
        if self.work_index.contains_key(&job.id) {
            return;
        }
        self.expect_work(&job, now);
        let key = self.insert(job);
        self.open_due(key, now, now);
    }

    /// Cancels a job: nothing of it starts, and what runs is stopped.
    pub fn cancel(&mut self, id: Id, now: Time) {
        let Some(&key) = self.work_index.get(&id) else {
            return;
        };
        if self.works[key].outcome.is_none() {
            self.finish(key, Outcome::Cancelled, "cancelled", now);
        }
    }

    /// Adds a job without occurrences.
    pub(super) fn insert(&mut self, job: Arc<Job>) -> work::Key {
        let queue = self.intern_queue(&job.queue, &job.policy);
        let id = job.id;
        let key = self.works.insert(Work {
            job,
            queue,
            occurrences: Vec::new(),
            next: 0,
            finished: 0,
            begun: false,
            outcome: None,
            dirty: false,
        });
        self.work_index.insert(id, key);
        key
    }

    /// Opens the occurrences of a job that are due at `wall`, the time of day.
    pub(super) fn open_due(&mut self, key: work::Key, wall: Time, now: Time) {
        loop {
            let Some(work) = self.works.get_mut(key) else {
                return;
            };
            let number = work.next;
            if work.outcome.is_some() || number >= work.job.occurrences() {
                return;
            }
            let due = work.job.due(number);
            if due.is_some_and(|due| wall < due) {
                return;
            }
            work.next += 1;
            let from = match due {
                Some(_) => now,
                None => work.job.submitted.min(now),
            };
            let found = Occurrence::new(&work.job, number, from);
            work.occurrences.push(found);
            self.open_steps(key, number);
        }
    }

    /// Makes the tasks of all steps ready that wait for nothing any more.
    pub(super) fn open_steps(&mut self, key: work::Key, number: u32) {
        let Some(work) = self.works.get_mut(key) else {
            return;
        };
        if work.outcome.is_some() {
            return;
        }
        let job = Arc::clone(&work.job);
        for step in 0..job.steps.len() {
            let Some(found) = work.occurrence(number) else {
                return;
            };
            if found.steps[step].opened || !work.is_open(found, step) {
                continue;
            }
            if let Some(found) = work.occurrence_mut(number) {
                let state = &mut found.steps[step];
                state.opened = true;
                let first = state.first;
                let count = usize::from(job.steps[step].count);
                for task in &mut found.tasks[first..first + count] {
                    if task.state == State::Blocked {
                        task.state = State::Ready;
                    }
                }
            }
        }
        self.rank_occurrence(key, number);
    }

    /// Puts the ready tasks of an occurrence into the order of their pool.
    pub(super) fn rank_occurrence(&mut self, key: work::Key, number: u32) {
        let Some(work) = self.works.get(key) else {
            return;
        };
        let queue = &self.queues[work.queue];
        let Some(found) = work.occurrence(number) else {
            return;
        };
        let deadline = deadline(&work.job, queue.stretch, queue.target, found.due);
        let tier = found.tier;
        let ready = &mut self.pools[queue.pool].ready;
        for (step, (state, shape)) in found.steps.iter().zip(work.job.steps.iter()).enumerate() {
            let class = class(queue.priority, shape);
            for index in 0..shape.count {
                if found.tasks[state.first + usize::from(index)].state == State::Ready {
                    let task = TaskKey {
                        work: key,
                        occurrence: number,
                        step: step as u16,
                        index,
                    };
                    ready.insert(Rank {
                        class,
                        tier,
                        deadline,
                        task,
                    });
                }
            }
        }
    }

    /// Returns the place of a task in the order of its pool.
    pub(super) fn rank(&self, task: TaskKey) -> Option<Rank> {
        let work = self.works.get(task.work)?;
        let queue = &self.queues[work.queue];
        let found = work.occurrence(task.occurrence)?;
        Some(Rank {
            class: class(queue.priority, work.job.steps.get(usize::from(task.step))?),
            tier: found.tier,
            deadline: deadline(&work.job, queue.stretch, queue.target, found.due),
            task,
        })
    }

    /// Renews the order of all tasks that wait.
    pub(super) fn rank_all(&mut self) {
        for pool in self.pools.values_mut() {
            pool.ready.clear();
        }
        let all: Vec<(work::Key, u32)> = self
            .works
            .iter()
            .flat_map(|(key, work)| {
                work.occurrences
                    .iter()
                    .map(move |found| (key, found.number))
            })
            .collect();
        for (key, number) in all {
            self.rank_occurrence(key, number);
        }
    }

    /// Puts jobs that can't meet their objective any more behind those that can.
    pub(super) fn renew_tiers(&mut self, now: Time) {
        if now < self.tiered + TIER_INTERVAL {
            return;
        }
        self.tiered = now;
        let mut changed = false;
        for work in self.works.values_mut() {
            let queue = &self.queues[work.queue];
            let job = Arc::clone(&work.job);
            for found in &mut work.occurrences {
                let left = remaining(&job, found);
                let objective = deadline(&job, queue.stretch, queue.target, found.due);
                let span = objective.since(found.due);
                let hopeless = found.due + span * HOPELESS / 100;
                let worthless = found.due + span * LATE_FACTOR;
                let tier = match now + left / 2 {
                    end if end <= hopeless => Tier::Timely,
                    end if end <= worthless => Tier::Late,
                    _ => Tier::Overdue,
                };
                changed |= tier != found.tier;
                found.tier = tier;
            }
        }
        if changed {
            self.rank_all();
        }
    }

    /// Makes a task ready that has no run and is not done.
    pub(super) fn make_ready(&mut self, task: TaskKey) {
        let Some(work) = self.works.get_mut(task.work) else {
            return;
        };
        let ended = work.outcome.is_some();
        let Some(state) = work.task_mut(task.occurrence, task.step, task.index) else {
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
            let pool = self.queues[self.works[task.work].queue].pool;
            self.pools[pool].ready.insert(rank);
        }
    }

    /// Takes a task out of the order.
    pub(super) fn unrank(&mut self, task: TaskKey) {
        if let Some(rank) = self.rank(task) {
            let pool = self.queues[self.works[task.work].queue].pool;
            self.pools[pool].ready.remove(&rank);
        }
    }

    /// Notes that a task is done.
    pub(super) fn complete(&mut self, task: TaskKey, now: Time) {
        self.unrank(task);
        let Some(work) = self.works.get_mut(task.work) else {
            return;
        };
        let Some(state) = work.task_mut(task.occurrence, task.step, task.index) else {
            return;
        };
        if state.state == State::Done {
            return;
        }
        state.state = State::Done;
        state.checkpoint = None;
        let twins = state.runs.clone();
        if let Some(found) = work.occurrence_mut(task.occurrence) {
            let step = &mut found.steps[usize::from(task.step)];
            step.left = step.left.saturating_sub(1);
        }
        self.mark_dirty(task.work);
        for twin in twins {
            self.stop(twin, "task-done", now);
        }
        self.open_steps(task.work, task.occurrence);
        self.close_occurrences(task.work, now);
    }

    /// Counts the occurrences that are done, and ends the job after the last one.
    fn close_occurrences(&mut self, key: work::Key, now: Time) {
        let Some(work) = self.works.get_mut(key) else {
            return;
        };
        while work
            .occurrences
            .first()
            .is_some_and(|found| found.number == work.finished && found.is_done())
        {
            // A second run of a speculative task may still be stopping; its end needs the occurrence.
            let busy = |task: &work::Task| !task.runs.is_empty();
            if work.occurrences[0].tasks.iter().any(busy) && work.job.occurrences() > 1 {
                break;
            }
            work.finished += 1;
            if work.finished < work.job.occurrences() {
                work.occurrences.remove(0);
            } else {
                break;
            }
        }
        if work.finished >= work.job.occurrences() && work.outcome.is_none() {
            self.finish(key, Outcome::Done, "done", now);
        }
    }

    /// Ends a job and stops what is left of it.
    pub(super) fn finish(
        &mut self,
        key: work::Key,
        outcome: Outcome,
        reason: &'static str,
        now: Time,
    ) {
        let Some(work) = self.works.get_mut(key) else {
            return;
        };
        work.outcome = Some(outcome);
        let job = work.job.id;
        let age = now.since(work.job.submitted);
        let mut ready = Vec::new();
        let mut runs: Vec<run::Key> = Vec::new();
        for found in &mut work.occurrences {
            for (step, state) in found.steps.iter().enumerate() {
                for index in 0..work.job.steps[step].count {
                    let task = &mut found.tasks[state.first + usize::from(index)];
                    runs.extend(&task.runs);
                    if task.state == State::Ready {
                        task.state = State::Blocked;
                        let step = StepKey {
                            work: key,
                            occurrence: found.number,
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

    /// Drops a job that has ended, has no runs, and whose end the log holds.
    pub(super) fn drop_ended(&mut self, key: work::Key) {
        let ended = |work: &Work| work.outcome.is_some() && !work.dirty && !work.has_runs();
        if self.works.get(key).is_some_and(ended)
            && let Some(work) = self.works.remove(key)
        {
            self.work_index.remove(&work.job.id);
        }
    }

    /// Schedules the drop of a job that has ended.
    pub(super) fn drop_when_stored(&mut self, key: work::Key) {
        self.effects.push(Effect::Drop(key));
    }
}

/// Returns the longest chain of the caller's estimates through the steps that are not done.
fn remaining(job: &Job, found: &Occurrence) -> Duration {
    let mut ends = vec![Duration::ZERO; job.steps.len()];
    for (step, shape) in job.steps.iter().enumerate() {
        let before = shape.after.iter().map(|&after| ends[usize::from(after)]);
        let own = match found.steps[step].left {
            0 => Duration::ZERO,
            _ => shape.estimate,
        };
        ends[step] = before.max().unwrap_or_default() + own;
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Returns the class of a step's tasks in the order of its pool.
fn class(priority: u8, step: &Step) -> u8 {
    let later = u8::from(!step.long_running) + u8::from(step.uses_spare_cpu);
    priority.saturating_mul(3).saturating_add(later)
}

/// Returns when the objective of an occurrence ends.
fn deadline(job: &Job, stretch: u32, target: Duration, due: Time) -> Time {
    due + target + chain(job) * stretch / 1_000
}

/// Returns the longest chain of the caller's estimates.
fn chain(job: &Job) -> Duration {
    let mut ends = vec![Duration::ZERO; job.steps.len()];
    for (step, shape) in job.steps.iter().enumerate() {
        let before = shape.after.iter().map(|&after| ends[usize::from(after)]);
        ends[step] = before.max().unwrap_or_default() + shape.estimate;
    }
    ends.into_iter().max().unwrap_or_default()
}
