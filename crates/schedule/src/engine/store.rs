//! Records for the log, and the effects that follow once the log has them.

use super::{
    Engine,
    engine::Effect, //
};
use crate::job::{
    self,
    ActiveJob,
    Occurrence,
    TaskKey, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Progress, Record,
    id::Position,
    progress::{
        self,
        Assignment, //
    },
    record,
};
use std::sync::Arc;

impl Engine {
    /// Returns whether there are records that the log lacks.
    pub fn is_dirty(&self) -> bool {
        !self.dirty.is_empty()
            || !self.effects.is_empty()
            || !self.fleet.unstored_waves.is_empty()
            || !self.fleet.unstored_orders.is_empty()
            || !self.unstored_leases.is_empty()
            || self.fleet.demand.unstored
    }

    /// Returns the records that the log lacks, or `None` if there are none or earlier ones are still being appended.
    /// The caller calls [`records_stored`](Self::records_stored) once the log has them.
    pub fn take_records(&mut self) -> Option<Vec<Record>> {
        if self.storing.is_some() || !self.is_dirty() {
            return None;
        }
        let mut records = Vec::new();
        for key in core::mem::take(&mut self.dirty) {
            if let Some(active) = self.jobs.get_mut(key) {
                active.dirty = false;
                let ended = active.outcome.is_some();
                records.push(Record::Progress(Arc::new(self.progress(key))));
                if ended {
                    self.drop_when_stored(key);
                }
            }
        }
        for (number, host) in core::mem::take(&mut self.fleet.unstored_waves) {
            records.push(Record::Wave(record::Wave {
                number,
                epoch: self.epoch,
                done: host.is_none(),
                begun: host.into_iter().collect(),
            }));
        }
        for key in core::mem::take(&mut self.fleet.unstored_orders) {
            if let Some(host) = self.fleet.hosts.get(key) {
                records.push(Record::HostOrder(record::HostOrder {
                    epoch: self.epoch,
                    host: Arc::clone(&host.listed.name),
                    at: host.ordered_at,
                }));
            }
        }
        let leases = core::mem::take(&mut self.unstored_leases);
        records.extend(leases.into_iter().map(Record::Lease));
        if core::mem::take(&mut self.fleet.demand.unstored) {
            records.push(Record::Demand(self.demand_record()));
        }
        self.storing = Some(core::mem::take(&mut self.effects));
        Some(records)
    }

    /// Records that the log has the records that were last taken, and applies the effects of their decisions.
    pub fn records_stored(&mut self, now: Time) {
        for effect in self.storing.take().unwrap_or_default() {
            match effect {
                Effect::Start(run) => self.startable.push(run),
                Effect::Acknowledge(runner, number) => {
                    if let Some(runner) = self.runners.get_mut(runner) {
                        runner.durable_end = runner.durable_end.max(number);
                        runner.poll_at = runner.poll_at.min(now);
                    }
                }
                Effect::Drop(job_key) => self.drop_ended(job_key),
                Effect::Order(host) => self.orderable.push(host),
            }
        }
    }

    /// Orders the starts that are in the log.
    pub(super) fn start_stored(&mut self, now: Time) {
        for run in core::mem::take(&mut self.startable) {
            if self.awaits_configuration(run) {
                self.startable.push(run);
            } else if self.runs.get(run).is_some_and(|run| !self.may_return(run)) {
                // The cap of its account was lowered after the run was planned.
                self.abandon(run, now);
            } else {
                self.order_start(run, now);
            }
        }
    }

    /// Gives the orders to hosts that are in the log.
    pub(super) fn order_stored(&mut self, now: Time) {
        let mut hosts = core::mem::take(&mut self.orderable);
        // A host whose order was stored twice, while the log was unavailable, gets it once.
        hosts.sort_unstable();
        hosts.dedup();
        hosts.retain(|&host| self.fleet.hosts.contains_key(host));
        hosts.sort_by_key(|&host| self.urgency(host, now));
        let mut hosts = hosts.into_iter();
        while let Some(host) = hosts.next() {
            if !self.order_host(host, now) {
                self.orderable.push(host);
                self.orderable.extend(hosts);
                return;
            }
        }
    }

    /// Returns the state of a job for the log.
    fn progress(&self, key: job::Key) -> Progress {
        let active = &self.jobs[key];
        let tasks = active.occurrences.iter();
        let tasks = tasks
            .filter(|occurrence| occurrence.number >= active.finished || active.outcome.is_some());
        Progress {
            id: active.job.id,
            epoch: self.epoch,
            outcome: active.outcome,
            begun: active.begun,
            finished: active.finished,
            tasks: tasks
                .flat_map(|occurrence| self.tasks(key, active, occurrence))
                .collect(),
        }
    }

    /// Returns the state of those tasks of an occurrence that the log needs.
    fn tasks<'a>(
        &'a self,
        key: job::Key,
        active: &'a ActiveJob,
        occurrence: &'a Occurrence,
    ) -> impl Iterator<Item = progress::Task> + use<'a> {
        let ended = active.outcome.is_some();
        let steps = active.job.steps.iter().zip(&occurrence.steps).enumerate();
        steps.flat_map(move |(step, (spec, state))| {
            (0..spec.count).filter_map(move |index| {
                let task = &occurrence.tasks[state.first + usize::from(index)];
                if task.is_initial() || (ended && task.runs.is_empty()) {
                    return None;
                }
                let position = Position {
                    occurrence: occurrence.number,
                    step: step as u16,
                    index,
                };
                let suspicions = match task.crashes {
                    0 => Vec::new(),
                    _ => {
                        let suspicions = self.suspicions_of(TaskKey::new(key, position));
                        suspicions.cloned().collect()
                    }
                };
                Some(progress::Task {
                    position,
                    done: task.state == job::State::Done,
                    failures: task.failures,
                    crashes: task.crashes,
                    suspicions,
                    attempt: task.attempt,
                    assignments: self.assignments(task),
                    late_starts: self.awaited_starts(TaskKey::new(key, position)),
                    checkpoint: task.checkpoint.clone(),
                })
            })
        })
    }

    fn assignments(&self, task: &job::Task) -> Vec<Assignment> {
        let runs = task.runs.iter().filter_map(|&run| self.runs.get(run));
        let assignment = |run: &job::Run| {
            let runner = self.runners.get(run.runner)?;
            Some(Assignment {
                runner: Arc::clone(&runner.id),
                // A later leader has to know that the run may have been on an incarnation that has ended.
                incarnation: run.incarnation,
                host: Arc::clone(&runner.host),
                attempt: run.attempt,
                settled: run.settled,
            })
        };
        runs.filter_map(assignment).collect()
    }
}
