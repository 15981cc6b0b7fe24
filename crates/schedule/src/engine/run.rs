//! Starting, stopping and releasing of runs.

use super::{
    Engine,
    engine::Effect, //
};
use crate::{
    job::{
        self, Run, Starts, State, TaskKey,
        run::{
            self,
            Stage, //
        },
        starts::Bound,
    },
    note::{
        Kind,
        Note, //
    },
    order::{
        Order,
        Start,
        Stop,
        Target, //
    },
    runner,
};
use sassafrascrank_base::{
    epoch,
    prelude::*, //
};
use sassafrascrank_job::{
    Step,
    id, //
};
use std::sync::Arc;

impl Engine {
    /// Plans a run of a task on a runner. It starts once the log has it.
    pub(super) fn plan(
        &mut self,
        task: TaskKey,
        runner: runner::Key,
        attempt: u32,
        ticket: Option<Arc<str>>,
        now: Time,
    ) {
        self.unrank(task);
        let run = Run {
            ticket,
            ..self.new_run(task, attempt, runner, now)
        };
        let active = &mut self.jobs[task.job_key];
        let Some(state) = active.task_mut(task.occurrence, task.step, task.index) else {
            return;
        };
        state.attempt = attempt;
        state.state = State::Active;
        let key = self.runs.insert(run);
        state.runs.push(key);
        self.occupy(key, runner, now);
        self.charge(key);
        self.mark_dirty(task.job_key);
        self.effects.push(Effect::Start(key));
        let run = self.runs[key].clone();
        self.note_run(Kind::Placed, "room", &run, now);
    }

    /// Returns a planned run of a task on the present incarnation of a runner.
    pub(super) fn new_run(
        &self,
        task: TaskKey,
        attempt: u32,
        runner: runner::Key,
        now: Time,
    ) -> Run {
        let active = &self.jobs[task.job_key];
        let step = &active.job.steps[usize::from(task.step)];
        let state = active.task(task.occurrence, task.step, task.index);
        Run {
            task,
            task_id: task_id(active.job.id, task),
            attempt,
            runner,
            listed: false,
            moved: false,
            incarnation: self.runners[runner].incarnation,
            settled: false,
            alive_at: Time::MIN,
            need: step.reserved(),
            account: active.account,
            full_need: step.need,
            traits: run::Traits::from(step),
            stage: Stage::Planned,
            crashes: state.map_or(0, |state| state.crashes),
            planned: now,
            adopted: None,
            started: None,
            doubt: None,
            starts: Starts::NONE,
            answered_at: None,
            stop_ordered_at: None,
            ticket: None,
            percent: 0,
            progress: run::Progress::default(),
            load: 0,
            pace_percent: 100,
            pace_ordered_at: Time::MIN,
            influence: run::Influence::default(),
        }
    }

    /// Adds a run to its runner and takes its resources.
    pub(super) fn occupy(&mut self, key: run::Key, runner: runner::Key, now: Time) {
        self.track_image(key, now);
        let runner = &mut self.runners[runner];
        runner.add_run(key, &self.runs[key]);
        runner.last_busy = now;
    }

    /// Orders the start of a planned run.
    pub(super) fn order_start(&mut self, key: run::Key, now: Time) {
        let is_planned = |run: &&Run| run.stage == Stage::Planned;
        if self.runs.get(key).filter(is_planned).is_none() {
            return;
        }
        match self.send_start(key, now) {
            true => self.runs[key].stage = Stage::Ordered,
            false => self.abandon(key, now),
        }
    }

    /// Sends the order to start a run, and returns whether its runner can be addressed.
    pub(super) fn send_start(&mut self, key: run::Key, now: Time) -> bool {
        let run = &self.runs[key];
        let Some(active) = self.jobs.get(run.task.job_key) else {
            return false;
        };
        let specification = Arc::clone(&active.job.specification);
        let task = active.task(run.task.occurrence, run.task.step, run.task.index);
        let checkpoint = task.and_then(|task| task.checkpoint.clone());
        let (task_id, attempt, ticket) = (run.task_id, run.attempt, run.ticket.clone());
        let runner_key = run.runner;
        let rules = self.rules;
        let Some(runner) = self.runners.get_mut(runner_key) else {
            return false;
        };
        // A runner whose lease was just renewed keeps it. Another one gets a short lease until its first poll.
        let renewed = runner.runs_until > now + rules.first_lease;
        let span = match renewed && runner.misses == 0 {
            true => rules.lease.saturating_sub(rules.poll_wait),
            false => rules.first_lease,
        };
        let until = runner.renew_lease(span, &rules, now);
        let expires = until.and_then(|until| runner.latest_expiry(until, &rules));
        let (Some(until), Some(target)) = (until, self.target(runner_key)) else {
            return false;
        };
        let limit = self.start_limit(&self.runs[key]);
        let run = &mut self.runs[key];
        let late = |limit| now + self.rules.order_limit + limit;
        run.starts.send(Bound {
            here: expires.unwrap_or(Time::MIN),
            later: limit.map_or(Time::MIN, late),
        });
        self.orders.push(Order::Start(Start {
            target,
            run: key,
            task: task_id,
            attempt,
            specification,
            until,
            checkpoint,
            ticket,
        }));
        true
    }

    /// Returns the longest time after which a later incarnation of its runner may carry out a start of a run that got no answer;
    /// `None` if that does no harm.
    pub(super) fn start_limit(&self, run: &Run) -> Option<Duration> {
        let step = self.step_spec(run.task)?;
        // A ticket is valid for one incarnation.
        let harmless = step.speculative || run.ticket.is_some();
        (!harmless).then(|| self.late_limit(step))
    }

    /// Returns the longest time after which a start of a step's task that got no answer counts as possible.
    pub(super) fn late_limit(&self, step: &Step) -> Duration {
        match step.long_running {
            true => self.rules.long_running_start_limit,
            false => self.rules.start_limit,
        }
    }

    /// Records that a runner has started a task of a job. `evidence` names what the runner has shown.
    pub(super) fn mark_begun(
        &mut self,
        key: job::Key,
        runner: runner::Key,
        evidence: &'static str,
        now: Time,
    ) {
        let Some(active) = self.jobs.get_mut(key) else {
            return;
        };
        if active.begun || active.outcome.is_some() {
            return;
        }
        active.begun = true;
        let mut note = Note::new(Kind::JobBegun, evidence, now)
            .with_job(active.job.id)
            .with_age(now.since(active.job.submitted));
        if let Some(runner) = self.runners.get(runner) {
            note = note.with_place(&runner.id);
        }
        self.note(note);
        self.mark_dirty(key);
    }

    /// Returns the target of orders to a runner, or `None` if its address is unknown.
    pub(super) fn target(&self, key: runner::Key) -> Option<Target> {
        let runner = self.runners.get(key)?;
        Some(Target {
            runner: key,
            id: Arc::clone(&runner.id),
            zone: Arc::clone(&runner.zone),
            address: runner.address?,
            fence: epoch::fence(self.epoch, runner.generation),
        })
    }

    /// Stops a run, or releases it if its start was not ordered yet.
    pub(super) fn stop(&mut self, key: run::Key, reason: &'static str, now: Time) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        match run.stage {
            Stage::Planned => {
                self.release(key);
                return;
            }
            Stage::Stopping => return,
            _ => {}
        }
        run.stage = Stage::Stopping;
        run.answered_at = None;
        let copy = run.clone();
        self.note_run(Kind::Stopping, reason, &copy, now);
        self.order_stop(key, now);
    }

    /// Orders a run to stop, for the first time or again.
    pub(super) fn order_stop(&mut self, key: run::Key, now: Time) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.stop_ordered_at = Some(now);
        let (runner_key, task, attempt) = (run.runner, run.task_id, run.attempt);
        if let Some(target) = self.target(runner_key) {
            self.orders.push(Order::Stop(Stop {
                target,
                run: Some(key),
                task,
                attempt,
            }));
        }
    }

    /// Removes a run from its task and its runner, lets the task start again, and returns the run.
    pub(super) fn release(&mut self, key: run::Key) -> Option<Run> {
        let run = self.detach(key)?;
        self.make_ready(run.task);
        Some(run)
    }

    /// Removes a run from its task and its runner, and returns it.
    pub(super) fn detach(&mut self, key: run::Key) -> Option<Run> {
        let run = self.runs.remove(key)?;
        self.discharge(&run);
        self.keep_start(&run);
        if let Some(runner) = self.runners.get_mut(run.runner) {
            runner.remove_run(key, &run);
        }
        let TaskKey {
            job_key,
            occurrence,
            step,
            index,
        } = run.task;
        if let Some(active) = self.jobs.get_mut(job_key)
            && let Some(task) = active.task_mut(occurrence, step, index)
        {
            task.runs.retain(|&other| other != key);
        }
        self.mark_dirty(job_key);
        Some(run)
    }

    /// Releases a run that has not started and never will.
    pub(super) fn abandon(&mut self, key: run::Key, now: Time) {
        if let Some(run) = self.release(key) {
            self.break_gang(&run, now);
        }
    }
}

/// Returns the identity of a task in orders and in the log.
pub(super) fn task_id(job: sassafrascrank_job::Id, task: TaskKey) -> id::Task {
    id::Task {
        job,
        position: id::Position {
            occurrence: task.occurrence,
            step: task.step,
            index: task.index,
        },
    }
}
